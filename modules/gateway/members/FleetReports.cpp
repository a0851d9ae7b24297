#include "gateway/members/FleetReports.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

const DaemonId fleetKey("fleet");

namespace {

    constexpr std::string_view zonePrefix = "zone/";
    /** Time in which the capacity samples of all replicas are sent, unless these are too many for maximumCapacityRate. */
    constexpr Duration capacityCycle = std::chrono::seconds(3);
    /** Replicas a second whose samples are sent to one receiver. One takes 27 bytes, and a member receives from two collectors. */
    constexpr double maximumCapacityRate = 50;

    CapacityScope capacityScopeOf(LoadScope scope)
    {
        return scope == LoadScope::Daemon ? CapacityScope::Daemon : scope == LoadScope::Zone ? CapacityScope::Zone
                                                                                             : CapacityScope::Fleet;
    }

} // namespace

DaemonId zoneKey(const AvailabilityZone& zone)
{
    return DaemonId(std::string(zonePrefix) + zone.value());
}

bool isSum(const DaemonId& id)
{
    return id == fleetKey || id.value().starts_with(zonePrefix);
}

FleetReports::FleetReports(LoadTracker& loadTracker, SpeedTracker& speeds, ReplicaDirectory& replicas)
    : m_loadTracker(loadTracker)
    , m_speeds(speeds)
    , m_replicas(replicas)
{
}

void FleetReports::addTo(LoadMessage& message, Duration period)
{
    message.speedSamples = samplesFor(message.scope);
    message.capacities = nextCapacities(message.scope, period);
    message.accountUse = accountUseFor(message.scope);
    message.demands = demandFor(message.scope);
    message.rateLimits = nextRateLimits(message.scope);
}

void FleetReports::apply(const LoadMessage& message, ReportOrigin origin)
{
    applyCapacities(message, origin);
    for (const auto& report : message.rateLimits)
        m_replicas.rateLimits().recordReport(report);
    auto isFirstPart = message.part.index == 0;
    if (!isFirstPart)
        return;
    applySamples(message, origin);
    applyAccountUse(message, origin);
    applyDemand(message, origin);
}

void FleetReports::applySamples(const LoadMessage& message, ReportOrigin origin)
{
    switch (origin) {
    case ReportOrigin::Unused:
        return;
    case ReportOrigin::Daemon:
        m_speeds.setPeerSamples(message.sender.id, message.speedSamples);
        return;
    case ReportOrigin::Zone:
        m_speeds.setPeerSamples(zoneKey(message.sender.zone), message.speedSamples);
        return;
    case ReportOrigin::Fleet:
        m_speeds.setFleetSamples(message.speedSamples);
        return;
    }
}

void FleetReports::applyAccountUse(const LoadMessage& message, ReportOrigin origin)
{
    if (!m_accountUse)
        return;
    switch (origin) {
    case ReportOrigin::Unused:
        return;
    case ReportOrigin::Daemon:
        m_accountUse->setPeerUse(message.sender.id, message.accountUse);
        return;
    case ReportOrigin::Zone:
        m_accountUse->setPeerUse(zoneKey(message.sender.zone), message.accountUse);
        return;
    case ReportOrigin::Fleet:
        m_accountUse->setFleetUse(message.accountUse);
        return;
    }
}

void FleetReports::applyDemand(const LoadMessage& message, ReportOrigin origin)
{
    if (!m_rateLimiter)
        return;
    switch (origin) {
    case ReportOrigin::Unused:
        return;
    case ReportOrigin::Daemon:
        if (message.isLeaving)
            m_rateLimiter->removePeer(message.sender.id);
        else
            m_rateLimiter->setPeerDemand(message.sender.id, message.demands);
        return;
    case ReportOrigin::Zone:
        m_rateLimiter->setZoneDemand(message.sender.zone, message.demands);
        return;
    case ReportOrigin::Fleet:
        m_rateLimiter->setFleetDemand(message.demands);
        return;
    }
}

void FleetReports::applyCapacities(const LoadMessage& message, ReportOrigin origin)
{
    auto& capacity = m_loadTracker.capacity();
    switch (origin) {
    case ReportOrigin::Unused:
        return;
    case ReportOrigin::Daemon:
        capacity.setPeerSamples(message.sender.id, message.capacities);
        return;
    case ReportOrigin::Zone:
        capacity.setZoneSamples(message.sender.zone, message.capacities);
        return;
    case ReportOrigin::Fleet:
        capacity.setFleetSamples(message.capacities);
        return;
    }
}

std::vector<ServiceSamples> FleetReports::samplesFor(LoadScope scope) const
{
    switch (scope) {
    case LoadScope::Daemon:
        return m_speeds.ownSamples();
    case LoadScope::Zone:
        return m_speeds.samplesOf([](const DaemonId& daemon) { return !isSum(daemon); });
    case LoadScope::Fleet:
        break;
    }
    return m_speeds.samplesOf([](const DaemonId&) { return true; });
}

std::vector<ServiceUse> FleetReports::accountUseFor(LoadScope scope) const
{
    if (!m_accountUse)
        return {};
    switch (scope) {
    case LoadScope::Daemon:
        return m_accountUse->ownUse();
    case LoadScope::Zone:
        return m_accountUse->useOf([](const DaemonId& daemon) { return !isSum(daemon); });
    case LoadScope::Fleet:
        break;
    }
    return m_accountUse->useOf([](const DaemonId&) { return true; });
}

std::vector<RequestDemand> FleetReports::demandFor(LoadScope scope)
{
    if (!m_rateLimiter)
        return {};
    auto services = m_replicas.rateLimitedServices();
    if (services.empty())
        return {};
    auto demands = scope == LoadScope::Daemon ? ownDemand(services) : m_rateLimiter->demandOf(services, scope == LoadScope::Fleet);
    if (demands.size() > maximumReportedDemands)
        demands.resize(maximumReportedDemands);
    return demands;
}

std::vector<RequestDemand> FleetReports::ownDemand(const std::set<ServiceId>& services)
{
    auto work = m_loadTracker.ownWork();
    auto waitingFor = [&work](const ServiceId& service) {
        auto waiting = std::ranges::find(work, waitingAt(service), &ReplicaWork::replica);
        return waiting == work.end() ? 0.0 : static_cast<double>(waiting->requests);
    };
    return m_rateLimiter->reportOwnDemand(services, waitingFor);
}

std::vector<RateLimitReport> FleetReports::nextRateLimits(LoadScope scope)
{
    auto reports = m_replicas.rateLimits().reports();
    auto& cursor = m_rateLimitCursors[scope];
    auto next = std::ranges::upper_bound(reports, cursor, {}, &RateLimitReport::replica);
    std::rotate(reports.begin(), next, reports.end());
    if (reports.size() > maximumRateLimitReports)
        reports.resize(maximumRateLimitReports);
    if (!reports.empty())
        cursor = reports.back().replica;
    return reports;
}

std::vector<CapacitySamples> FleetReports::nextCapacities(LoadScope scope, Duration period)
{
    const auto& capacity = m_loadTracker.capacity();
    auto rate = std::min(static_cast<double>(capacity.size()) / toSeconds(capacityCycle), maximumCapacityRate);
    auto count = static_cast<size_t>(std::ceil(rate * toSeconds(period)));
    return capacity.nextSamples(capacityScopeOf(scope), m_capacityCursors[scope], count);
}

} // namespace chestnut

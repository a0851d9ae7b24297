#include "decisions/CapacitySimulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chestnut {

namespace {

    constexpr double stepSeconds = 0.001;
    /** A message is on its way for 50 ms and the next one follows 250 ms later, so that counts are 50 to 300 ms old. */
    constexpr int messageDelay = 50;
    constexpr int messagePeriod = 250;
    constexpr double meanReportAge = 0.175;
    constexpr int sampleExchangePeriod = 1000;
    constexpr double sampleHalfLife = 8;
    /** Weight of a sample in the daemons' own slowdowns and in the mean time of the service. */
    constexpr double slowdownWeight = 0.15;
    constexpr double meanWeight = 0.005;

} // namespace

double quantileOf(std::vector<double> values, double share)
{
    auto place = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * share);
    std::ranges::nth_element(values, place);
    return *place;
}

double SimulatedResult::shareOfFirst(size_t count) const
{
    return std::accumulate(share.begin(), share.begin() + static_cast<std::ptrdiff_t>(count), 0.0);
}

CapacitySimulation::CapacitySimulation(std::vector<SimulatedReplica> replicas, SimulatedLoad load, SimulatedDecision decision)
    : m_replicas(std::move(replicas))
    , m_load(load)
    , m_decision(decision)
    , m_requests(m_replicas.size())
    , m_capacities(m_replicas.size())
    , m_expectedSeconds(load.meanSeconds)
    , m_served(m_replicas.size())
{
    std::vector<uint32_t> none(m_replicas.size());
    std::vector<CapacitySamples> samples(m_replicas.size());
    for (size_t i = 0; i < samples.size(); ++i)
        samples[i].replica = ReplicaId("i-" + std::to_string(i));
    m_daemons.assign(load.daemons, { none, none, none, std::vector<double>(m_replicas.size(), 1), samples });
}

SimulatedResult CapacitySimulation::run()
{
    for (int step = 0; step * stepSeconds < m_load.seconds; ++step) {
        exchangeCounts(step);
        if (step % sampleExchangePeriod == 0)
            exchangeSamples();
        arrive(step * stepSeconds);
        serve(step * stepSeconds);
    }
    SimulatedResult result;
    auto total = std::accumulate(m_served.begin(), m_served.end(), 0.0);
    for (auto served : m_served)
        result.share.push_back(served / total);
    result.meanSeconds = std::accumulate(m_times.begin(), m_times.end(), 0.0) / static_cast<double>(m_times.size());
    result.p50 = quantileOf(m_times, 0.5);
    result.p99 = quantileOf(m_times, 0.99);
    result.waitedShare = m_waited / total;
    result.otherZoneShare = m_leftZone / total;
    result.capacities = m_capacities;
    return result;
}

void CapacitySimulation::exchangeCounts(int step)
{
    for (size_t d = 0; d < m_daemons.size(); ++d) {
        auto& daemon = m_daemons[d];
        auto phase = (step + static_cast<int>(d) * 37) % messagePeriod;
        if (phase == 0) {
            for (size_t i = 0; i < m_replicas.size(); ++i)
                daemon.nextOthers[i] = static_cast<uint32_t>(m_requests[i].size()) - daemon.own[i];
        }
        if (phase == messageDelay)
            daemon.others = daemon.nextOthers;
    }
}

void CapacitySimulation::exchangeSamples()
{
    std::vector<CapacitySamples> group;
    for (size_t i = 0; i < m_replicas.size(); ++i) {
        std::vector<CapacitySamples> reports;
        for (auto& daemon : m_daemons) {
            scale(daemon.samples[i], std::exp2(-sampleExchangePeriod * stepSeconds / sampleHalfLife));
            reports.push_back(daemon.samples[i]);
        }
        if (falsifyReports)
            falsifyReports(reports);
        group.push_back(sumOfReports(reports));
    }
    if (m_decision != SimulatedDecision::Present)
        m_capacities = estimateCapacities(group);
}

void CapacitySimulation::arrive(double now)
{
    std::poisson_distribution<int> arrivals(m_load.requestsPerSecond * stepSeconds);
    std::uniform_real_distribution<double> uniform(0.5, 1.5);
    std::exponential_distribution<double> exponential(1);
    for (auto left = arrivals(m_random); left > 0; --left) {
        auto d = m_random() % m_daemons.size();
        auto& daemon = m_daemons[d];
        auto views = viewsOf(daemon);
        auto i = choose(daemon, views);
        auto work = m_load.meanSeconds * (m_load.isExponential ? exponential(m_random) : uniform(m_random));
        auto counts = now >= m_load.warmUp;
        if (counts) {
            ++m_served[i];
            m_waited += m_requests[i].size() >= m_replicas[i].slots ? 1 : 0;
            m_leftZone += m_replicas[i].zone != zoneOf(daemon) ? 1 : 0;
        }
        ++daemon.own[i];
        m_requests[i].push_back({ d, now, work, work, (views[i].requests + 1.0) / views[i].slots, counts });
    }
}

void CapacitySimulation::serve(double now)
{
    for (size_t i = 0; i < m_replicas.size(); ++i) {
        auto& requests = m_requests[i];
        const auto& replica = m_replicas[i];
        auto inService = std::min<size_t>(requests.size(), replica.slots);
        auto rate = replica.speed(now) * std::pow(std::min(1.0, replica.kneeShare * replica.slots / static_cast<double>(std::max<size_t>(inService, 1))), replica.kneePower);
        for (size_t k = 0; k < inService; ++k)
            requests[k].work -= stepSeconds * rate;
        for (const auto& request : requests) {
            if (request.work <= 0)
                complete(i, request, now);
        }
        std::erase_if(requests, [](const Request& request) { return request.work <= 0; });
    }
}

void CapacitySimulation::complete(size_t replica, const Request& request, double now)
{
    auto& daemon = m_daemons[request.daemon];
    --daemon.own[replica];
    auto seconds = now - request.arrival + stepSeconds;
    if (request.counts)
        m_times.push_back(seconds);
    auto ratio = m_load.isTimePerToken ? seconds / std::max(request.size, stepSeconds * 10) : seconds / m_expectedSeconds;
    addSample(daemon.samples[replica], request.loadShare, ratio);
    daemon.slowdowns[replica] += (std::clamp(ratio, 0.125, 8.0) - daemon.slowdowns[replica]) * slowdownWeight;
    m_expectedSeconds += (std::min(seconds, 4 * m_expectedSeconds) - m_expectedSeconds) * meanWeight;
}

std::vector<PlacementView> CapacitySimulation::viewsOf(const Daemon& daemon) const
{
    std::vector<PlacementView> views;
    for (size_t i = 0; i < m_replicas.size(); ++i) {
        PlacementView view;
        view.id = daemon.samples[i].replica;
        view.zone = m_replicas[i].zone;
        view.slots = m_replicas[i].slots;
        view.peerRequests = daemon.others[i];
        view.requests = daemon.own[i] + daemon.others[i];
        if (m_decision != SimulatedDecision::Present) {
            view.limit = m_capacities[i].limitShare * view.slots;
            view.speed = m_capacities[i].speed;
        } else
            view.slowdown = daemon.slowdowns[i];
        views.push_back(std::move(view));
    }
    return views;
}

size_t CapacitySimulation::chooseOfTwo(const std::vector<PlacementView>& views)
{
    std::vector<double> weights;
    weights.reserve(views.size());
    for (const auto& view : views)
        weights.push_back(usableSlots(view));
    std::discrete_distribution<size_t> drawn(weights.begin(), weights.end());
    auto first = drawn(m_random);
    auto second = drawn(m_random);
    std::vector<PlacementView> pair { views[first], views[second] };
    return *chooseLeastOccupied(pair, pair.front().zone) == 0 ? first : second;
}

const AvailabilityZone& CapacitySimulation::zoneOf(const Daemon& daemon) const
{
    return m_replicas[static_cast<size_t>(&daemon - m_daemons.data()) % m_replicas.size()].zone;
}

size_t CapacitySimulation::choose(const Daemon& daemon, const std::vector<PlacementView>& views)
{
    if (m_decision == SimulatedDecision::PowerOfTwo)
        return chooseOfTwo(views);
    std::optional<UnseenLoad> unseen;
    if (m_decision == SimulatedDecision::Learned && m_daemons.size() > 1)
        unseen = UnseenLoad { replacedShareAfter(fromSeconds(meanReportAge), fromSeconds(m_expectedSeconds)), std::uniform_real_distribution<double>(0, 1)(m_random) };
    return *chooseByFreeCapacity(views, zoneOf(daemon), unseen);
}

} // namespace chestnut

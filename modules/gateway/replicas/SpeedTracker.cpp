#include "gateway/replicas/SpeedTracker.h"

#include <cmath>

namespace chestnut {

namespace {

    /** Time in which a sample loses half of its weight. It covers several requests of a daemon with little traffic, and a
        change of the engines is followed within half a minute. */
    constexpr Duration sampleHalfLife = std::chrono::seconds(15);
    /** Samples of peers are forgotten after this time without an update. */
    constexpr Duration peerSampleLifetime = std::chrono::seconds(60);

    void addAll(std::map<ServiceId, ServiceSamples>& sums, const std::vector<ServiceSamples>& list)
    {
        for (const auto& samples : list) {
            auto [sum, isNew] = sums.try_emplace(samples.service, samples);
            if (!isNew)
                add(sum->second, samples);
        }
    }

    double decayOver(Duration time)
    {
        return std::exp2(-toSeconds(time) / toSeconds(sampleHalfLife));
    }

} // namespace

SpeedTracker::SpeedTracker(TimerService& timers)
    : m_timers(timers)
{
}

ServiceSamples& SpeedTracker::own(const ServiceId& service)
{
    auto now = m_timers.now();
    auto [entry, isNew] = m_own.try_emplace(service, OwnSamples { { service }, now });
    auto& [samples, scaledAt] = entry->second;
    scale(samples, decayOver(now - scaledAt));
    scaledAt = now;
    return samples;
}

void SpeedTracker::recordPrefill(const ServiceId& service, double tokens, Duration time)
{
    addPrefill(own(service).prefill, tokens, time);
}

void SpeedTracker::recordFirstEvent(const ServiceId& service, Duration time)
{
    addTime(own(service).firstEvent, time);
}

void SpeedTracker::recordEventGap(const ServiceId& service, Duration time)
{
    addTime(own(service).eventGap, time);
}

void SpeedTracker::recordOccupancy(const ServiceId& service, Duration time)
{
    addTime(own(service).occupancy, time);
}

ServiceSpeed SpeedTracker::speedOf(const ServiceId& service) const
{
    auto isRecent = [this](const PeerSamples& peer) { return m_timers.now() - peer.receivedAt < peerSampleLifetime; };
    ServiceSamples sum { service };
    auto addMatching = [&](const std::vector<ServiceSamples>& list) {
        for (const auto& samples : list) {
            if (samples.service == service)
                add(sum, samples);
        }
    };
    if (m_fleet && isRecent(*m_fleet)) {
        addMatching(m_fleet->samples);
        if (auto speed = estimateSpeed(sum); speed.prefill)
            return speed;
        sum = { service };
    }
    addMatching(ownSamples());
    for (const auto& [daemon, peer] : m_peers) {
        if (isRecent(peer))
            addMatching(peer.samples);
    }
    return estimateSpeed(sum);
}

std::vector<ServiceSamples> SpeedTracker::ownSamples() const
{
    std::vector<ServiceSamples> list;
    list.reserve(m_own.size());
    for (const auto& [service, entry] : m_own) {
        auto samples = entry.samples;
        scale(samples, decayOver(m_timers.now() - entry.scaledAt));
        list.push_back(samples);
    }
    return list;
}

std::vector<ServiceSamples> SpeedTracker::samplesOf(const std::function<bool(const DaemonId&)>& isChosen) const
{
    std::map<ServiceId, ServiceSamples> sums;
    addAll(sums, ownSamples());
    for (const auto& [daemon, peer] : m_peers) {
        if (isChosen(daemon) && m_timers.now() - peer.receivedAt < peerSampleLifetime)
            addAll(sums, peer.samples);
    }
    std::vector<ServiceSamples> list;
    list.reserve(sums.size());
    for (auto& [service, sum] : sums)
        list.push_back(sum);
    return list;
}

void SpeedTracker::setPeerSamples(const DaemonId& daemon, std::vector<ServiceSamples> samples)
{
    auto now = m_timers.now();
    m_peers[daemon] = { std::move(samples), now };
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.receivedAt >= peerSampleLifetime; });
}

void SpeedTracker::setFleetSamples(std::vector<ServiceSamples> samples)
{
    m_fleet = PeerSamples { std::move(samples), m_timers.now() };
}

} // namespace chestnut

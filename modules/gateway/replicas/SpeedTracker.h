#pragma once

#include "decisions/speeds/ServiceSpeed.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** Estimates how fast the engines of each service are, from the calls of this daemon and of its peers. */
class SpeedTracker {
public:
    explicit SpeedTracker(TimerService&);

    /** `tokens` were to be prefilled by this call and those queued before it. */
    void recordPrefill(const ServiceId&, double tokens, Duration);
    void recordFirstEvent(const ServiceId&, Duration);
    void recordEventGap(const ServiceId&, Duration);
    void recordOccupancy(const ServiceId&, Duration);

    ServiceSpeed speedOf(const ServiceId&) const;

    /** The samples of this daemon. */
    std::vector<ServiceSamples> ownSamples() const;
    /** The sum of the samples of this daemon and the chosen peers. */
    std::vector<ServiceSamples> samplesOf(const std::function<bool(const DaemonId&)>& isChosen) const;
    /** Replaces the samples of a peer. They describe the engines and are therefore kept for a minute after the peer has stopped. */
    void setPeerSamples(const DaemonId&, std::vector<ServiceSamples>);
    /** Replaces the samples of all daemons together. They include the own ones, which are therefore not added. */
    void setFleetSamples(std::vector<ServiceSamples>);

private:
    struct OwnSamples {
        ServiceSamples samples;
        TimePoint scaledAt;
    };
    struct PeerSamples {
        std::vector<ServiceSamples> samples;
        TimePoint receivedAt;
    };

    ServiceSamples& own(const ServiceId&);

    TimerService& m_timers;
    std::map<ServiceId, OwnSamples> m_own;
    std::unordered_map<DaemonId, PeerSamples> m_peers;
    std::optional<PeerSamples> m_fleet;
};

} // namespace chestnut

#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <map>
#include <memory>
#include <optional>

namespace chestnut {

/** The progress of the streams of one daemon at each engine, to tell an engine that has stopped from a daemon that receives nothing
    at all: after a pause of the daemon or of its network all streams are silent, and moving them would only add work. */
class StreamProgress {
public:
    void begin(const ServiceId&, const ReplicaId&, TimePoint now);
    void recordEvent(const ServiceId&, const ReplicaId&, TimePoint now);
    void end(const ServiceId&, const ReplicaId&);

    /** Whether streams were in progress at other engines of the service at `since`, and none has received an event afterwards. */
    bool areOthersSilent(const ServiceId&, const ReplicaId&, TimePoint since) const;

    /** Counts a stream as in progress during its lifetime. It may outlive all other owners of the progress. */
    class Stream {
    public:
        Stream(std::shared_ptr<StreamProgress>, ServiceId, ReplicaId, TimePoint now);
        ~Stream();
        Stream(const Stream&) = delete;
        Stream& operator=(const Stream&) = delete;

    private:
        std::shared_ptr<StreamProgress> m_progress;
        ServiceId m_service;
        ReplicaId m_replica;
    };

private:
    struct EngineStreams {
        uint32_t count = 0;
        TimePoint begunAt; /**< of the first stream */
        std::optional<TimePoint> lastEventAt;
    };

    std::map<ServiceId, std::map<ReplicaId, EngineStreams>> m_services;
};

} // namespace chestnut

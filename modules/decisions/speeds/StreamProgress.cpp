#include "decisions/speeds/StreamProgress.h"

namespace chestnut {

void StreamProgress::begin(const ServiceId& service, const ReplicaId& replica, TimePoint now)
{
    auto& streams = m_services[service][replica];
    if (streams.count++ == 0)
        streams.begunAt = now;
}

void StreamProgress::recordEvent(const ServiceId& service, const ReplicaId& replica, TimePoint now)
{
    if (auto engines = m_services.find(service); engines != m_services.end()) {
        if (auto streams = engines->second.find(replica); streams != engines->second.end())
            streams->second.lastEventAt = now;
    }
}

void StreamProgress::end(const ServiceId& service, const ReplicaId& replica)
{
    auto engines = m_services.find(service);
    if (engines == m_services.end())
        return;
    auto streams = engines->second.find(replica);
    if (streams == engines->second.end() || --streams->second.count > 0)
        return;
    engines->second.erase(streams);
    if (engines->second.empty())
        m_services.erase(engines);
}

bool StreamProgress::areOthersSilent(const ServiceId& service, const ReplicaId& replica, TimePoint since) const
{
    auto engines = m_services.find(service);
    if (engines == m_services.end())
        return false;
    bool wereOthersInProgress = false;
    for (const auto& [engine, streams] : engines->second) {
        if (engine == replica)
            continue;
        if (streams.lastEventAt && *streams.lastEventAt > since)
            return false;
        wereOthersInProgress |= streams.begunAt <= since;
    }
    return wereOthersInProgress;
}

StreamProgress::Stream::Stream(std::shared_ptr<StreamProgress> progress, ServiceId service, ReplicaId replica, TimePoint now)
    : m_progress(std::move(progress))
    , m_service(std::move(service))
    , m_replica(std::move(replica))
{
    m_progress->begin(m_service, m_replica, now);
}

StreamProgress::Stream::~Stream()
{
    m_progress->end(m_service, m_replica);
}

} // namespace chestnut

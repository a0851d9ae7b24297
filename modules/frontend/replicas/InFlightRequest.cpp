#include "frontend/replicas/ReplicaTable.h"

namespace chestnut {

InFlightRequest::InFlightRequest(std::weak_ptr<ReplicaTable> table, ReplicaId replica, InFlightRequestInfo info, TimePoint startedAt)
    : m_table(std::move(table))
    , m_replica(std::move(replica))
    , m_info(std::move(info))
    , m_startedAt(startedAt)
{
}

InFlightRequest::~InFlightRequest()
{
    if (auto table = m_table.lock())
        table->endRequest(*this);
}

void InFlightRequest::onToken(TimePoint now)
{
    auto table = m_table.lock();
    if (m_tokens++ == 0) {
        m_firstTokenAt = now;
        if (table) {
            table->learnPrefillRate(*this, now);
            table->recordLatency(*this, now - m_startedAt, m_info.estimate.timeToFirstToken, now);
        }
    }
    m_lastTokenAt = now;
}

void InFlightRequest::onResponse(TimePoint now)
{
    m_tokens = 1;
    m_firstTokenAt = m_startedAt;
    m_lastTokenAt = now;
    if (auto table = m_table.lock())
        table->recordLatency(*this, now - m_startedAt, m_info.estimate.serviceTime, now);
}

void InFlightRequest::onFailure(ErrorKind kind, TimePoint now)
{
    if (auto table = m_table.lock())
        table->recordRequestFailure(*this, kind, now);
}

WorkEstimate InFlightRequest::remaining() const
{
    WorkEstimate work = m_info.work;
    if (m_tokens > 0)
        work.prefillTokens = 0;
    work.decodeTokens = std::max(0.0, work.decodeTokens - static_cast<double>(m_tokens));
    return work;
}

} // namespace chestnut

#include "gateway/requests/VersionBinding.h"

namespace chestnut {

namespace {

    /** A client without its first event waits this long for the record of its stream while the store does not answer. */
    constexpr Duration recordPatience = std::chrono::seconds(1);

} // namespace

VersionBinding::VersionBinding(RelayContext& relay)
    : m_relay(relay)
{
}

StreamName VersionBinding::nameOf(const RequestId& attempt) const
{
    const auto& account = m_relay.request.account;
    return { m_relay.service, account ? account->id : AccountId(), attempt };
}

bool VersionBinding::mayBeResumed() const
{
    return m_relay.route.isResumable && m_relay.services.streamRecords;
}

asio::awaitable<Result<void>> VersionBinding::resolve()
{
    const auto& resumption = m_relay.request.resumption;
    auto* records = m_relay.services.streamRecords;
    if (!resumption || !records)
        co_return Result<void>();
    auto since = m_relay.services.timers.now();
    auto known = resumption->firstAttempt ? co_await records->find(nameOf(*resumption->firstAttempt)) : co_await records->findOnlyVersion(m_relay.service);
    logResumption(known, since);
    if (!known)
        co_return known.error();
    m_relay.version = std::move(known->version);
    co_return Result<void>();
}

void VersionBinding::logResumption(const Result<StreamVersion>& known, TimePoint since) const
{
    const auto& services = m_relay.services;
    const auto& first = m_relay.request.resumption->firstAttempt;
    auto source = known ? chestnut::nameOf(known->source) : "unknown";
    auto waited = services.timers.now() - since;
    services.log.write(EventId::ResumedStreamVersion, { { "request", m_relay.request.id }, { "first_attempt", first ? first->value() : "" }, { "service", m_relay.service }, { "version", known ? known->version.value() : "" }, { "source", source }, { "ms", waited.count() / 1000 }, { "detail", known ? "" : known.error().detail } });
    services.metrics.count("chestnut_gateway_resumed_streams_total", { { "source", std::string(source) } });
}

void VersionBinding::beginRun(const ReplicaEntry& engine)
{
    if (m_isBound || !mayBeResumed())
        return;
    m_writing = m_relay.services.streamRecords->beginWriting(nameOf(m_relay.request.id), m_records + 1, engine.version);
    if (m_writing)
        ++m_records;
}

asio::awaitable<void> VersionBinding::bind(const ReplicaEntry& engine)
{
    if (std::exchange(m_isBound, true))
        co_return;
    m_relay.version = engine.version;
    if (!mayBeResumed())
        co_return;
    auto& services = m_relay.services;
    services.streamRecords->remember(nameOf(m_relay.request.id), engine.version);
    if (!m_writing || co_await services.streamRecords->awaitWritten(m_writing, recordPatience))
        co_return;
    services.log.write(EventId::StreamBegunWithoutRecord, { { "request", m_relay.request.id }, { "replica", engine.id }, { "version", engine.version } });
}

} // namespace chestnut

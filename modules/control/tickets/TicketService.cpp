#include "control/tickets/TicketService.h"

#include "control/configuration/ConfigurationDocument.h"

namespace chestnut {

namespace {

    constexpr Duration shortestRetryDelay = std::chrono::milliseconds(20);
    constexpr int maximumDelayDoublings = 6;

    std::string ticketStoreKey(TicketNumber number)
    {
        return std::string(ticketStorePrefix) + std::to_string(number);
    }

    std::string encodeStored(const Ticket& ticket, Revision revision)
    {
        return nlohmann::json { { "revision", revision }, { "content", toHex(contentDigestOf(ticket)) }, { "ticket", ticketToJson(ticket) } }.dump();
    }

    Result<StoredTicket> decodeStored(const std::string& text)
    {
        auto document = nlohmann::json::parse(text, nullptr, false);
        auto unreadable = makeError(ErrorKind::ProtocolError, "the stored ticket is unreadable");
        if (!document.is_object() || !document.contains("ticket") || !document.value("revision", nlohmann::json()).is_number_unsigned())
            return unreadable;
        auto content = document.value("content", nlohmann::json());
        auto digest = content.is_string() ? digestFromHex(content.get<std::string>()) : std::nullopt;
        auto ticket = decodeStoredTicket(document["ticket"]);
        if (!ticket || !digest)
            return unreadable;
        return StoredTicket { document["revision"].get<Revision>(), *digest, std::move(*ticket) };
    }

    Error rejectionErrorOf(const Ticket& ticket, const TicketEvaluation& evaluation)
    {
        auto number = std::to_string(ticket.number);
        if (evaluation.status == TicketStatus::Conflict) {
            auto revision = std::to_string(evaluation.revision);
            return makeError(ErrorKind::TicketConflict, "ticket " + number + " was accepted at revision " + revision + " with other content");
        }
        if (evaluation.object == ticketFloorKey)
            return makeError(ErrorKind::TicketOvertaken, "ticket " + number + " is not above the floor " + std::to_string(evaluation.newer) + " of ticket numbers");
        return makeError(ErrorKind::TicketOvertaken, "ticket " + number + " is superseded by ticket " + std::to_string(evaluation.newer) + ", which set " + evaluation.object);
    }

    std::optional<Error> validationErrorOf(const Configuration& configuration, const Ticket& ticket)
    {
        if (auto faults = validateTicket(configuration, ticket); !faults.empty())
            return makeError(ErrorKind::TicketInvalid, joinFaults(faults));
        if (encodeConfiguration(withTicket(configuration, ticket, contentDigestOf(ticket))).size() > KeyValueStore::maximumValue)
            return makeError(ErrorKind::TicketInvalid, "ticket: the configuration would exceed 1,000,000 bytes");
        return std::nullopt;
    }

} // namespace

struct TicketService::SubmissionProgress {
    std::optional<Result<TicketReceipt>> outcome;
    /** A write was sent and its response was lost: until a read shows otherwise, the ticket may be accepted. */
    bool mayBeWritten = false;
};

TicketService::TicketService(KeyValueStore& store, TimerService& timers, Log& log, std::function<void(Configuration)> onAccepted)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_onAccepted(std::move(onAccepted))
{
}

asio::awaitable<Result<TicketService::CurrentConfiguration>> TicketService::readCurrentConfiguration()
{
    auto read = co_await m_store.read(std::string(configurationStoreKey));
    if (!read)
        co_return read.error();
    if (!read->entry)
        co_return CurrentConfiguration {};
    auto configuration = decodeStoredDocument(read->entry->value);
    if (!configuration)
        co_return configuration.error();
    co_return CurrentConfiguration { std::move(*configuration), read->entry->modifyIndex };
}

asio::awaitable<Result<StoredTicket>> TicketService::find(TicketNumber number)
{
    auto read = co_await m_store.read(ticketStoreKey(number));
    if (!read)
        co_return read.error();
    if (!read->entry)
        co_return makeError(ErrorKind::NotFound, "there is no accepted ticket " + std::to_string(number));
    co_return decodeStored(read->entry->value);
}

asio::awaitable<Result<TicketEvaluation>> TicketService::evaluate(Ticket ticket, Configuration configuration)
{
    auto content = contentDigestOf(ticket);
    auto evaluation = evaluateTicket(configuration, ticket, content);
    if (evaluation.status == TicketStatus::AlreadyAccepted || evaluation.status == TicketStatus::Conflict)
        co_return evaluation;
    // The configuration lists only the newest tickets; for an older one, its own record shows whether it was accepted.
    auto stored = co_await find(ticket.number);
    if (stored) {
        auto status = stored->content == content ? TicketStatus::AlreadyAccepted : TicketStatus::Conflict;
        co_return TicketEvaluation { status, stored->revision, 0, "" };
    }
    if (stored.error().kind != ErrorKind::NotFound)
        co_return stored.error();
    co_return evaluation;
}

asio::awaitable<Result<Revision>> TicketService::validate(std::string text)
{
    auto ticket = decodeTicket(text);
    if (!ticket)
        co_return ticket.error();
    auto state = co_await readCurrentConfiguration();
    if (!state)
        co_return state.error();
    auto evaluation = co_await evaluate(*ticket, state->configuration);
    if (!evaluation)
        co_return evaluation.error();
    if (evaluation->status == TicketStatus::AlreadyAccepted)
        co_return evaluation->revision;
    if (evaluation->status != TicketStatus::New)
        co_return rejectionErrorOf(*ticket, *evaluation);
    if (auto fault = validationErrorOf(state->configuration, *ticket))
        co_return *fault;
    co_return state->configuration.revision;
}

asio::awaitable<void> TicketService::tryAccept(Ticket ticket, SubmissionProgress& progress)
{
    auto state = co_await readCurrentConfiguration();
    if (!state) {
        if (!progress.mayBeWritten)
            progress.outcome = state.error();
        co_return;
    }
    auto evaluation = co_await evaluate(ticket, state->configuration);
    if (!evaluation) {
        if (!progress.mayBeWritten)
            progress.outcome = evaluation.error();
        co_return;
    }
    if (evaluation->status == TicketStatus::AlreadyAccepted) {
        progress.outcome = TicketReceipt { ticket.number, evaluation->revision, !progress.mayBeWritten };
        if (state->configuration.revision > 0)
            m_onAccepted(std::move(state->configuration));
        co_return;
    }
    if (evaluation->status != TicketStatus::New) {
        progress.outcome = rejectionErrorOf(ticket, *evaluation);
        co_return;
    }
    if (auto fault = validationErrorOf(state->configuration, ticket)) {
        progress.outcome = *fault;
        co_return;
    }
    auto next = withTicket(state->configuration, ticket, contentDigestOf(ticket));
    std::vector<KeyValueOperation> operations;
    operations.push_back({ std::string(configurationStoreKey), encodeStoredDocument(next), state->modifyIndex });
    operations.push_back({ ticketStoreKey(ticket.number), encodeStored(ticket, next.revision), 0 });
    auto written = co_await m_store.transact(std::move(operations));
    if (written && *written) {
        progress.outcome = TicketReceipt { ticket.number, next.revision, false };
        m_onAccepted(std::move(next));
    } else if (!written && written.error().kind == ErrorKind::PlatformAnswerLost) {
        progress.mayBeWritten = true;
    } else if (!written && !progress.mayBeWritten) {
        progress.outcome = written.error();
    }
}

asio::awaitable<void> TicketService::waitBeforeRetry(TicketNumber number, int attempt)
{
    auto delay = shortestRetryDelay * (1 << std::min(attempt, maximumDelayDoublings));
    // Jitter derived from the number and the time separates competing operators without a random generator.
    auto jitter = hash64(std::to_string(number) + "/" + std::to_string(m_timers.now().time_since_epoch().count())) % 1000;
    co_await m_timers.sleep(delay / 2 + delay * static_cast<int64_t>(jitter) / 2000);
}

asio::awaitable<Result<TicketReceipt>> TicketService::submit(std::string text)
{
    auto ticket = decodeTicket(text);
    if (!ticket)
        co_return ticket.error();
    SubmissionProgress progress;
    for (int i = 0; i < maximumAttempts && !progress.outcome; ++i) {
        if (i > 0)
            co_await waitBeforeRetry(ticket->number, i);
        co_await tryAccept(*ticket, progress);
    }
    if (!progress.outcome && progress.mayBeWritten) {
        m_log.write(EventId::TicketUnsettled, { { "ticket", ticket->number } });
        co_return makeError(ErrorKind::TicketUnknown, "the response to the write of ticket " + std::to_string(ticket->number) + " was lost; submit the same ticket again");
    }
    if (!progress.outcome)
        progress.outcome = makeError(ErrorKind::PlatformConflict, "another ticket was accepted during each attempt; submit the ticket again");
    auto outcome = std::move(*progress.outcome);
    if (outcome)
        m_log.write(EventId::TicketAccepted, { { "ticket", outcome->number }, { "revision", outcome->revision }, { "repeat", outcome->wasAlreadyAccepted ? "true" : "false" } });
    else
        m_log.write(EventId::TicketRejected, { { "ticket", ticket->number }, { "kind", describe(outcome.error().kind).name }, { "reason", outcome.error().detail } });
    co_return outcome;
}

} // namespace chestnut

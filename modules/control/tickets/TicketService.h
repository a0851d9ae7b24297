#pragma once

#include "control/tickets/ConfigurationCodec.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <functional>

namespace chestnut {

/** Key of the accepted configuration; see decodeStoredDocument(). */
constexpr std::string_view configurationStoreKey = "config/current";
/** Prefix of the keys of accepted tickets; the ticket number follows. */
constexpr std::string_view ticketStorePrefix = "tickets/";

struct TicketReceipt {
    TicketNumber number = 0;
    Revision revision = 0; /**< at which the ticket was accepted */
    bool wasAlreadyAccepted = false; /**< the ticket was accepted before this call */

    auto operator<=>(const TicketReceipt&) const = default;
};

/** An accepted ticket as stored in the key-value service. */
struct StoredTicket {
    Revision revision = 0;
    Digest content;
    Ticket ticket;
};

/** Accepts each ticket by one transaction that replaces `config/current` and creates `tickets/<number>`. */
class TicketService final : public Service {
public:
    static constexpr std::string_view serviceName = "tickets";
    std::string_view name() const override { return serviceName; }

    /** Maximum attempts for one submission, whether they fail by a lost race, a lost response or a stale read. */
    static constexpr int maximumAttempts = 10;

    /** onAccepted receives each configuration that this daemon accepts, so that it takes effect at this daemon
        immediately. */
    TicketService(KeyValueStore&, TimerService&, Log&, std::function<void(Configuration)> onAccepted);

    /** Errors: BadJson, TicketInvalid, TicketConflict, TicketOvertaken, PlatformUnavailable (not accepted),
        PlatformConflict (lost too many races; not accepted), TicketUnknown (submit the same ticket again to resolve). */
    asio::awaitable<Result<TicketReceipt>> submit(std::string text);

    /** Checks a ticket without accepting it. Returns the revision against which it was checked. */
    asio::awaitable<Result<Revision>> validate(std::string text);

    /** Returns an accepted ticket. Errors: NotFound, and those of the key-value service. */
    asio::awaitable<Result<StoredTicket>> find(TicketNumber);

private:
    struct CurrentConfiguration {
        Configuration configuration;
        uint64_t modifyIndex = 0;
    };
    struct SubmissionProgress;

    asio::awaitable<Result<CurrentConfiguration>> readCurrentConfiguration();
    asio::awaitable<Result<TicketEvaluation>> evaluate(Ticket, Configuration);
    asio::awaitable<void> tryAccept(Ticket, SubmissionProgress&);
    asio::awaitable<void> waitBeforeRetry(TicketNumber, int attempt);

    KeyValueStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::function<void(Configuration)> m_onAccepted;
};

} // namespace chestnut

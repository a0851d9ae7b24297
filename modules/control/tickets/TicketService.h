#pragma once

#include "control/tickets/ConfigurationCodec.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <functional>

namespace chestnut {

/** Key of the accepted state; see decodeConfiguration(). */
constexpr std::string_view configurationStoreKey = "config/current";
/** Followed by the number of an accepted ticket. */
constexpr std::string_view ticketStorePrefix = "tickets/";

struct TicketReceipt {
    TicketNumber number = 0;
    Revision revision = 0; /**< at which the ticket was accepted */
    bool isRepeat = false; /**< it had been accepted before this call */

    auto operator<=>(const TicketReceipt&) const = default;
};

/** An accepted ticket as the key-value service holds it. */
struct StoredTicket {
    Revision revision = 0;
    Digest content;
    Ticket ticket;
};

/** Accepts tickets: each by one transaction that swaps `config/current` and creates `tickets/<number>`. */
class TicketService final : public Service {
public:
    static constexpr std::string_view serviceName = "tickets";
    std::string_view name() const override { return serviceName; }

    /** Tries of one submission: lost races, lost answers and stale reads together. */
    static constexpr int maximumAttempts = 10;

    /** onAccepted gets each state that this daemon has accepted, so that it is in force here at once. */
    TicketService(KeyValueStore&, TimerService&, Log&, std::function<void(Configuration)> onAccepted);

    /** Errors: BadJson, TicketInvalid, TicketConflict, TicketOvertaken, PlatformUnavailable (not accepted),
        PlatformConflict (lost too many races; not accepted), TicketUnknown (submit the same ticket again to find out). */
    asio::awaitable<Result<TicketReceipt>> submit(std::string text);

    /** Checks a ticket without accepting it. Returns the revision that it was checked against. */
    asio::awaitable<Result<Revision>> validate(std::string text);

    /** Errors: NotFound, and those of the key-value service. */
    asio::awaitable<Result<StoredTicket>> find(TicketNumber);

private:
    struct CurrentState {
        Configuration configuration;
        uint64_t modifyIndex = 0;
    };
    struct Attempt;

    asio::awaitable<Result<CurrentState>> readState();
    asio::awaitable<Result<TicketEvaluation>> judge(Ticket, Configuration);
    asio::awaitable<void> attempt(Ticket, Attempt&);
    asio::awaitable<void> pause(TicketNumber, int attempt);

    KeyValueStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::function<void(Configuration)> m_onAccepted;
};

} // namespace chestnut

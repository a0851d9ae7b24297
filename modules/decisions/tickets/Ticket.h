#pragma once

#include "decisions/tickets/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** A numbered change. It states the whole new state of each object that it touches; their setBy fields are ignored. */
struct Ticket {
    TicketNumber number = 0;
    std::map<std::string, ModelSpec> models;
    std::map<std::string, EngineSpec> engines;
    std::map<std::string, BackendServerSpec> backendServers;
    std::map<std::string, AccountSpec> accounts;
    std::optional<LimitsSpec> limits;
    std::vector<std::string> removals; /**< object keys, such as `engine/e9` */

    bool operator==(const Ticket&) const = default;
};

/** One validation error of a ticket. */
struct TicketFault {
    std::string object; /**< object key, or `ticket` */
    std::string fault;

    auto operator<=>(const TicketFault&) const = default;
};

enum class TicketStatus : uint8_t {
    New, /**< neither accepted nor superseded yet */
    AlreadyAccepted, /**< this content was accepted under this number */
    Conflict, /**< other content was accepted under this number */
    Superseded, /**< a newer ticket has set one of its objects, or the number is not above the floor */
};

struct TicketEvaluation {
    TicketStatus status = TicketStatus::New;
    Revision revision = 0; /**< at which the ticket was accepted; for AlreadyAccepted and Conflict */
    TicketNumber newer = 0; /**< for Superseded */
    std::string object; /**< for Superseded */

    auto operator<=>(const TicketEvaluation&) const = default;
};

std::string modelKey(const std::string& id);
std::string engineKey(const std::string& id);
std::string backendServerKey(const std::string& id);
std::string accountKey(const std::string& id);
constexpr std::string_view limitsKey = "limits";
/** Object key in the rejection of a ticket whose number is not above Configuration::ticketFloor. */
constexpr std::string_view ticketFloorKey = "ticket_floor";

/** Keys of all objects that the ticket sets or removes. */
std::vector<std::string> touchedObjects(const Ticket&);

/** The ticket that last set or removed the object; zero when none did. */
TicketNumber lastSetBy(const Configuration&, const std::string& objectKey);

TicketEvaluation evaluateTicket(const Configuration&, const Ticket&, const Digest& content);

/** All faults of the ticket and of the state that it would produce; empty when it can be accepted. */
std::vector<TicketFault> validateTicket(const Configuration&, const Ticket&);

/** The state after the ticket, with the next revision. Removals of unknown objects have no effect. */
Configuration withTicket(const Configuration&, const Ticket&, const Digest& content);

} // namespace chestnut

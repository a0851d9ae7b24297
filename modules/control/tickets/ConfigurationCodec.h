#pragma once

#include "base/errors/Result.h"
#include "decisions/tickets/Ticket.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace chestnut {

/** The document that `config/current` holds. Accounts are rows, so that 27,000 of them fit into one value of 1 MB. */
std::string encodeConfiguration(const Configuration&);
/** Skips fields of newer versions. Fails with ProtocolError. */
Result<Configuration> decodeConfiguration(std::string_view);
nlohmann::json configurationToJson(const Configuration&);
/** decodeConfiguration() of parsed JSON. */
Result<Configuration> configurationFromJson(const nlohmann::json&);

nlohmann::json ticketToJson(const Ticket&);

/** Fails with BadJson, or with TicketInvalid and every unknown, missing or mistyped field. */
boost::leaf::result<Ticket> parseTicket(std::string_view);
/** parseTicket() for asynchronous callers. */
Result<Ticket> decodeTicket(std::string_view);
/** Reads an accepted ticket; skips fields of newer versions. */
Result<Ticket> decodeStoredTicket(const nlohmann::json&);

/** Digest of the ticket's content, independent of the layout of its JSON. */
Digest contentDigestOf(const Ticket&);

std::string_view nameOf(EngineRole);
std::string_view nameOf(RolePolicy);
std::string_view nameOf(Membership);
std::optional<EngineRole> engineRoleFromName(std::string_view);

nlohmann::json modelToJson(const ModelSpec&);
nlohmann::json engineToJson(const EngineSpec&);
nlohmann::json backendServerToJson(const BackendServerSpec&);

/** "object: fault; object: fault". */
std::string joinFaults(const std::vector<TicketFault>&);

} // namespace chestnut

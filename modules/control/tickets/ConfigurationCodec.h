#pragma once

#include "base/errors/Result.h"
#include "decisions/tickets/Ticket.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace chestnut {

/** Encodes the document of `config/current`. Accounts are arrays, so that 27,000 of them fit into a value of 1 MB. */
std::string encodeConfiguration(const Configuration&);
/** Ignores fields of newer versions. Fails with ProtocolError. */
Result<Configuration> decodeConfiguration(std::string_view);
nlohmann::json configurationToJson(const Configuration&);
/** Like decodeConfiguration(), for parsed JSON. */
Result<Configuration> configurationFromJson(const nlohmann::json&);

nlohmann::json ticketToJson(const Ticket&);

/** Fails with BadJson, or with TicketInvalid and a list of all unknown, missing and mistyped fields. */
boost::leaf::result<Ticket> parseTicket(std::string_view);
/** Like parseTicket(), with the result type of asynchronous callers. */
Result<Ticket> decodeTicket(std::string_view);
/** Decodes an accepted ticket. Ignores fields of newer versions. */
Result<Ticket> decodeStoredTicket(const nlohmann::json&);

/** Digest of the ticket's content, independent of its JSON formatting. */
Digest contentDigestOf(const Ticket&);

std::string_view nameOf(EngineRole);
std::string_view nameOf(RolePolicy);
std::string_view nameOf(Membership);
std::optional<EngineRole> engineRoleFromName(std::string_view);

nlohmann::json modelToJson(const ModelSpec&);
nlohmann::json engineToJson(const EngineSpec&);
nlohmann::json backendServerToJson(const BackendServerSpec&);

/** Formats faults as "object: fault; object: fault". */
std::string joinFaults(const std::vector<TicketFault>&);

} // namespace chestnut

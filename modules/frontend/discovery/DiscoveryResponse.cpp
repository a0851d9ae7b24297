#include "frontend/discovery/DiscoveryResponse.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

HttpResponse discoveryResponse(const HttpRequest& request, const RequestId& id, const PeerService& peers, const std::string& keyPrefix, const AvailabilityZone& ownZone)
{
    auto account = request.headers.value("X-Account");
    auto zone = request.headers.value("X-Zone");
    AccountId accountId(account.empty() ? "default" : std::string(account));
    auto chosen = entryPoints(accountId, zone.empty() ? ownZone : AvailabilityZone(std::string(zone)), peers.members());
    auto points = json::array();
    for (const auto& point : chosen)
        points.push_back({ { "address", point.address }, { "zone", point.zone.value() } });
    json document {
        { "entrypoints", points },
        { "valid_for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(validityOf(chosen)).count() },
        { "key_prefix", keyPrefix },
    };
    HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", id.value() } };
    return { 200, std::move(headers), document.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace chestnut

#include "gateway/accounts/Authentication.h"

#include <utility>

namespace chestnut {

Result<void> authenticate(RoutedRequest& request, const Route& route, const RouteTable& table)
{
    auto key = std::exchange(request.key, {});
    const auto* accounts = table.accounts();
    request.forwardsKey = accounts == nullptr;
    if (!accounts || route.isPublic)
        return {};
    if (key.empty())
        return makeError(ErrorKind::Unauthenticated, "the request has no key");
    const auto* account = accounts->find(key);
    if (!account)
        return makeError(ErrorKind::Unauthenticated, "the key belongs to no client account");
    request.account = RequestAccount { account->id, account->priority };
    return {};
}

} // namespace chestnut

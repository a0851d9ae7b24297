#pragma once

#include "base/errors/Result.h"
#include "decisions/routes/RouteTable.h"
#include "gateway/requests/RoutedRequest.h"

namespace chestnut {

/** Sets the account of a request by its key, where the configuration has accounts and the route is not public. Fails with
    Unauthenticated. The key is removed from the request in any case. */
Result<void> authenticate(RoutedRequest&, const Route&, const RouteTable&);

} // namespace chestnut

#pragma once

#include "base/ids/StrongId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** A client account and the keys that authenticate its requests. */
struct ClientAccount {
    AccountId id;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; /**< takes precedence over that of the route; zero is the most urgent */

    bool operator==(const ClientAccount&) const = default;
};

} // namespace chestnut

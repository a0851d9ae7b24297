#pragma once

#include "http/http.h"

#include <nlohmann/json.hpp>

namespace chestnut::soak {

/** A response of a test double with a JSON body. */
inline HttpResponse jsonResponse(int status, const nlohmann::json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

inline HttpResponse makeErrorResponse(const Error& error)
{
    return { describe(error.kind).status, {}, error.detail };
}

} // namespace chestnut::soak

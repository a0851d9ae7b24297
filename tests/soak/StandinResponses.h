#pragma once

#include "http/http.h"

#include <nlohmann/json.hpp>

namespace chestnut::soak {

/** A response of a test double with a JSON body. */
inline HttpResponse jsonResponse(int status, const nlohmann::json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

inline HttpResponse errorResponse(int status, const char* text)
{
    // No initializer list: after inlining into a coroutine, clang 14 for AArch64 reads it from a wrong address.
    nlohmann::json body;
    body["error"] = text;
    return jsonResponse(status, body);
}

inline HttpResponse makeErrorResponse(const Error& error)
{
    return { describe(error.kind).status, {}, error.detail };
}

} // namespace chestnut::soak

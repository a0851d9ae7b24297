#pragma once

#include "base/digest/Digest.h"
#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"

#include <optional>
#include <string>
#include <variant>

namespace chestnut {

/** This daemon may dispatch the call, once. */
struct ClaimGranted {
    bool operator==(const ClaimGranted&) const = default;
};

/** The call has run and its response is still recorded. */
struct ClaimAnswered {
    HttpResponse response;
};

using ClaimDecision = std::variant<ClaimGranted, ClaimAnswered>;

/** At-most-once execution of calls that are not idempotent. */
class ClaimService : public Service {
public:
    static constexpr std::string_view serviceName = "claims";
    std::string_view name() const final { return serviceName; }

    /** Claims the call. Errors: BadKey, KeyExpired, KeyConflict, AlreadyRun, OutcomeUnknown, ClaimUnavailable. */
    virtual asio::awaitable<Result<ClaimDecision>> claim(AccountId, std::string key, Digest content) = 0;

    /** Records the response of a granted call for later duplicates. */
    virtual void complete(AccountId, const std::string& key, HttpResponse) = 0;

    /** States that no byte of a granted call reached a backend, so that the same daemon may run it on a repeat. */
    virtual void abandon(AccountId, const std::string& key) = 0;

    /** The prefix of daemon keys that the discovery answer names. */
    virtual std::string keyPrefix() const = 0;
};

} // namespace chestnut

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
struct ClaimCompleted {
    HttpResponse response;
};

using ClaimDecision = std::variant<ClaimGranted, ClaimCompleted>;

/** At-most-once execution of calls that are not idempotent. */
class ClaimService : public Service {
public:
    static constexpr std::string_view serviceName = "claims";
    std::string_view name() const final { return serviceName; }

    /** Claims the call. Errors: BadKey, KeyExpired, KeyConflict, AlreadyRun, OutcomeUnknown, ClaimUnavailable. */
    virtual asio::awaitable<Result<ClaimDecision>> claim(AccountId, std::string key, Digest content) = 0;

    /** What this daemon knows of an earlier attempt with the key, without asking anyone: the recorded response, KeyConflict,
        AlreadyRun while it runs or after it ran, or OutcomeUnknown when its claim may have been written; claim() may still
        settle the last one. Nothing when no attempt is known or the known one was abandoned. */
    virtual std::optional<Result<ClaimDecision>> localDecision(AccountId, const std::string& key, const Digest& content) const = 0;

    /** Looks for a claim of an earlier attempt at any daemon in the log of a shared key, without claiming. AlreadyRun or
        KeyConflict when there is one; nothing when there is none or the log cannot be read within a second. */
    virtual asio::awaitable<std::optional<Error>> findClaimInLog(AccountId, std::string key, Digest content) = 0;

    /** Records the response of a granted call for later duplicates. */
    virtual void complete(AccountId, const std::string& key, HttpResponse) = 0;

    /** States that no byte of a granted call reached a backend, so that the same daemon may run it on a repeat. */
    virtual void abandon(AccountId, const std::string& key) = 0;

    /** The prefix of daemon keys that the discovery answer names. */
    virtual std::string keyPrefix() const = 0;
};

} // namespace chestnut

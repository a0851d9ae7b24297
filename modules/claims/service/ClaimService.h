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

/** This daemon may dispatch the call once. */
struct ClaimGranted {
    bool operator==(const ClaimGranted&) const = default;
};

/** The call has completed and its recorded response is still available. */
struct ClaimCompleted {
    HttpResponse response;
};

using ClaimDecision = std::variant<ClaimGranted, ClaimCompleted>;

/** Ensures at-most-once execution of calls that are not idempotent. */
class ClaimService : public Service {
public:
    static constexpr std::string_view serviceName = "claims";
    std::string_view name() const final { return serviceName; }

    /** Claims the call. Errors: BadKey, KeyExpired, KeyConflict, AlreadyRun, OutcomeUnknown, ClaimUnavailable. */
    virtual asio::awaitable<Result<ClaimDecision>> claim(AccountId, std::string key, Digest content) = 0;

    /** Looks up an earlier attempt with the key in this daemon's memory only: the recorded response, KeyConflict,
        AlreadyRun during or after its execution, or OutcomeUnknown when its claim may have been written, which claim()
        may still resolve. Nothing when this daemon has no record of an attempt or the attempt was abandoned. */
    virtual std::optional<Result<ClaimDecision>> localDecision(AccountId, const std::string& key, const Digest& content) const = 0;

    /** Searches the log of a shared key for a claim that any daemon made earlier, without claiming. AlreadyRun or
        KeyConflict when there is one; nothing when there is none or the log cannot be read within a second. */
    virtual asio::awaitable<std::optional<Error>> findClaimInLog(AccountId, std::string key, Digest content) = 0;

    /** Records the response of a granted call for later duplicates. */
    virtual void complete(AccountId, const std::string& key, HttpResponse) = 0;

    /** Reports that no byte of a granted call reached a backend server, so that this daemon may run a retry. */
    virtual void abandon(AccountId, const std::string& key) = 0;

    /** The prefix of daemon keys, published in the discovery response. */
    virtual std::string keyPrefix() const = 0;
};

} // namespace chestnut

#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "kernel/registry/Service.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** A key with its value and metadata. */
struct KeyValueEntry {
    std::string key;
    std::string value;
    uint64_t modifyIndex = 0; /**< increases with each change; the version for compare-and-swap */
    uint64_t lockIndex = 0; /**< increases with each acquisition of the lock; used as the fencing number */
    std::string session; /**< id of the session that holds the lock, or empty */

    bool operator==(const KeyValueEntry&) const = default;
};

/** The result of a read, with the index from which wait() detects changes. */
struct KeyValueRead {
    std::optional<KeyValueEntry> entry;
    uint64_t index = 0;
};

/** One operation of a transaction. Nothing is written unless the conditions of all operations hold. */
struct KeyValueOperation {
    std::string key;
    std::string value;
    uint64_t expectedModifyIndex = 0; /**< zero: the key must not exist */
    bool isCheckOnly = false; /**< only checks the expected index */
};

/** The platform's key-value service.
    Errors: PlatformUnavailable when the call cannot have taken effect, PlatformAnswerLost when a write may have. */
class KeyValueStore : public Service {
public:
    static constexpr std::string_view serviceName = "keyvalue";
    std::string_view name() const final { return serviceName; }

    /** Maximum size of a value in bytes. */
    static constexpr size_t maximumValue = 1'000'000;

    virtual asio::awaitable<Result<KeyValueRead>> read(std::string key) = 0;

    /** Blocking query: returns when the key's index exceeds `index`, or the unchanged entry after `maximumWait`. */
    virtual asio::awaitable<Result<KeyValueRead>> wait(std::string key, uint64_t index, Duration maximumWait) = 0;

    virtual asio::awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) = 0;

    /** Writes if the modify index matches (zero: if the key does not exist). Returns false when it does not match. */
    virtual asio::awaitable<Result<bool>> compareAndSwap(std::string key, std::string value, uint64_t expectedModifyIndex) = 0;

    /** Applies all operations or none. Returns false when a condition fails. At most 64 operations are allowed. */
    virtual asio::awaitable<Result<bool>> transact(std::vector<KeyValueOperation>) = 0;

    virtual asio::awaitable<Result<void>> remove(std::string key) = 0;
    /** Removes the key if the modify index matches. Returns false when it does not match. */
    virtual asio::awaitable<Result<bool>> removeIf(std::string key, uint64_t expectedModifyIndex) = 0;
    virtual asio::awaitable<Result<void>> removePrefix(std::string prefix) = 0;

    /** Creates a session and returns its id. It expires after its time to live unless renewed, and then releases its locks. */
    virtual asio::awaitable<Result<std::string>> createSession(Duration timeToLive) = 0;
    /** Fails with NotFound when the session has expired or was destroyed. */
    virtual asio::awaitable<Result<void>> renewSession(std::string session) = 0;
    virtual asio::awaitable<Result<void>> destroySession(std::string session) = 0;

    /** Locks the key for the session and sets its value. Returns false when another session holds the lock. */
    virtual asio::awaitable<Result<bool>> acquire(std::string key, std::string value, std::string session) = 0;
    /** Unlocks the key and sets its value. Returns false when the session does not hold the lock. */
    virtual asio::awaitable<Result<bool>> release(std::string key, std::string value, std::string session) = 0;
};

} // namespace chestnut

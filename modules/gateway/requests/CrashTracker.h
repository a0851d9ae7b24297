#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "decisions/quarantine/CrashingParts.h"
#include "decisions/quarantine/SharedBlocks.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chestnut {

/** An attempt that was lost because a replica broke the connection while running it. The request id distinguishes a second
    lost attempt at the same replica from a second report of the first. */
struct LostAttempt {
    Digest content;
    RequestId attempt;
    ReplicaId replica;
    int64_t replicaStart = 0; /**< Unix milliseconds of the process start that the attempt was sent to; zero: unknown */

    auto operator<=>(const LostAttempt&) const = default;
};

/** When the lost attempt was sent and when its loss was detected. */
struct LostAttemptTimes {
    TimePoint sentAt;
    TimePoint detectedAt;

    bool operator==(const LostAttemptTimes&) const = default;
};

/** A lost attempt as reported by a peer, with relative times because the clocks of daemons differ. */
struct LostAttemptReport {
    LostAttempt loss;
    Duration age {}; /**< since the loss was detected */
    Duration runTime {}; /**< from the send to the loss */

    bool operator==(const LostAttemptReport&) const = default;
};

/** A request content that was answered after attempts with it had been lost. */
struct SuccessReport {
    Digest content;
    Duration age {}; /**< since the response */

    bool operator==(const SuccessReport&) const = default;
};

/** Whether a request may be sent to an engine. */
enum class PartAdmission : uint8_t {
    Admitted,
    Trial, /**< admitted once, although a part of its prompt is blocked */
    Blocked,
};

/** A prompt part that became suspected or blocked, or that was released. */
struct PartChange {
    CrashingPart part;
    bool isReleased = false;
};

/** Detects requests that crash the replicas that run them, by the digest of their content and by the parts of their prompt.
    Clients send such requests to any daemon, so daemons share the lost attempts; after three crashes every daemon blocks the
    content or the part. */
class CrashTracker {
public:
    /** The seed differs between daemons. */
    explicit CrashTracker(TimerService&, uint64_t seed = 0);

    /** Returns whether the loss is new. */
    bool add(const LostAttempt&, TimePoint sentAt);
    bool add(const LostAttemptReport&);
    /** Records that the content was answered, so that earlier lost attempts are not counted against it. */
    void recordCompletion(const Digest& content);
    void recordCompletion(const SuccessReport&);
    /** Records that the replica has answered a request sent at this time, so attempts lost there just before were not lost
        in a crash. */
    void recordReplicaResponse(const ReplicaId&, TimePoint sentAt);
    bool isBlocked(const Digest& content) const;
    /** Whether any content is suspected or blocked; otherwise no digest has to be computed. */
    bool hasSuspectedContents() const { return !m_losses.empty() || hasContents(m_sharedBlocks); }

    /** Attempts lost within the last seconds, for the peers. */
    std::vector<LostAttemptReport> recentLosses() const;

    /** Contents that were recently answered after a loss, for the peers. */
    std::vector<SuccessReport> recentSuccesses() const;

    /** Counts the crash of an engine against the parts of a request that was waiting there for its first event. */
    void addPartCrash(const EngineStart&, std::span<const SharedPart>, TimePoint sentAt);
    void addPartCrash(const EngineCrashReport&);
    /** Records the first event of a request with the parts. */
    void recordPartsBegun(const EngineStart&, std::span<const SharedPart>, TimePoint sentAt);
    void recordPartBegin(const PartBeginReport&);
    /** Decides on a request with these parts. One that may have run is not sent again with a suspected part either. */
    PartAdmission admitParts(std::span<const SharedPart>, bool mayHaveRun = false);
    std::vector<EngineCrashReport> recentPartCrashes() const { return recentEngineCrashes(m_parts, m_timers.now()); }
    std::vector<PartBeginReport> recentPartBegins() const { return chestnut::recentPartBegins(m_parts, m_timers.now()); }
    /** The changes since the last call. */
    std::vector<PartChange> takePartChanges() { return std::exchange(m_partChanges, {}); }
    size_t blockedParts() const;

    /** The blocks that follow from the crashes known to this daemon. */
    std::vector<ObservedBlock> observedBlocks() const;
    /** The blocks of all daemons, which apply as well. */
    SharedBlockTable& sharedBlocks() { return m_sharedBlocks; }

private:
    struct Success {
        TimePoint at;
        bool hadLoss = false; /**< peers may still count the loss against the content */
    };

    bool addLoss(const LostAttempt&, LostAttemptTimes);
    /** The block that follows from the crashes with the content, if any. */
    std::optional<ObservedBlock> observedBlockOf(const Digest& content) const;
    /** Adds the shared blocks to the parts found here. */
    void addSharedParts(std::map<uint64_t, CrashingPart>&) const;
    void expire();
    void updateCrashingParts();

    TimerService& m_timers;
    uint64_t m_seed;
    std::map<LostAttempt, LostAttemptTimes> m_losses;
    std::map<Digest, Success> m_successes; /**< contents answered while there were losses of any content */
    TimePoint m_expiredAt;
    CrashingPartTable m_parts;
    std::map<uint64_t, CrashingPart> m_crashingParts; /**< as of m_partsUpdatedAt */
    SharedBlockTable m_sharedBlocks;
    std::vector<PartChange> m_partChanges;
    TimePoint m_partsUpdatedAt;
};

} // namespace chestnut

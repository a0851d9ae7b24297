#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace chestnut {

/** One process start of an engine. A process crashes once, however many attempts it loses. */
struct EngineStart {
    ReplicaId replica;
    int64_t startedAt = 0; /**< Unix milliseconds */

    auto operator<=>(const EngineStart&) const = default;
};

/** A prompt part that a request shares with others. */
struct SharedPart {
    uint64_t id = 0;
    uint32_t position = 0; /**< in the prompt */

    auto operator<=>(const SharedPart&) const = default;
};

/** The crash of an engine and the parts of the requests that were waiting there for their first event. */
struct EngineCrash {
    TimePoint at;
    bool isRefuted = false; /**< the engine has responded since, so that it has not crashed */
    std::map<uint64_t, uint32_t> suspects; /**< positions by part */
    Duration waited {}; /**< the longest time that one of the requests had been waiting */
    std::optional<TimePoint> lastBegin; /**< last first event of any request when the crash was recorded */

    bool operator==(const EngineCrash&) const = default;
};

/** What is known about prompt parts that crash the engines that begin to generate from them. */
struct CrashingPartTable {
    std::map<EngineStart, EngineCrash> crashes;
    std::map<uint64_t, TimePoint> begunAt; /**< last first event of a request with the part */
    std::optional<TimePoint> lastBegin; /**< of any request */
    TimePoint beginsKnownSince; /**< earlier first events may be missing in begunAt */
    std::map<uint64_t, TimePoint> trials; /**< last request that this daemon admitted although its part is blocked */
};

enum class PartState : uint8_t {
    Suspected,
    Blocked, /**< requests with the part are sent to no engine */
};

/** A part that explains crashes. */
struct CrashingPart {
    uint64_t part = 0;
    PartState state = PartState::Suspected;
    uint32_t crashes = 0; /**< crashes shortly after each other count as one if the part may be a popular one */
    TimePoint lastCrash;
    std::set<ReplicaId> replicas;

    bool operator==(const CrashingPart&) const = default;
};

/** An engine crash as reported by a peer. Ages are relative because the clocks of daemons differ. */
struct EngineCrashReport {
    EngineStart engine;
    Duration age {};
    bool isRefuted = false;
    std::vector<SharedPart> suspects;
    Duration waited {}; /**< the longest time that one of the requests had been waiting */

    bool operator==(const EngineCrashReport&) const = default;
};

/** A first event of a request with the part, as reported by a peer. */
struct PartBeginReport {
    uint64_t part = 0;
    Duration age {};

    bool operator==(const PartBeginReport&) const = default;
};

/** Bounds of the reports in one message, which also bound what a peer may send. */
constexpr size_t maximumCrashReports = 12;
constexpr size_t maximumReportedSuspects = 12;
constexpr size_t maximumBeginReports = 24;

/** Counts the crash against the parts of one lost request that was sent at this time and has had no event. */
void recordEngineCrash(CrashingPartTable&, const EngineStart&, std::span<const SharedPart>, TimePoint sentAt, TimePoint now);
void mergeEngineCrash(CrashingPartTable&, const EngineCrashReport&, TimePoint now);

/** Records the first event of a request. A part that crashes every engine cannot have begun, so earlier crashes do not
    count against these parts. */
void recordPartsBegun(CrashingPartTable&, std::span<const SharedPart>, TimePoint now);
void mergePartBegin(CrashingPartTable&, const PartBeginReport&, TimePoint now);

/** Records that this start of the engine responded to a request sent at this time, so that it did not crash just before. */
void recordEngineResponse(CrashingPartTable&, const EngineStart&, TimePoint sentAt);

/** The parts that explain the crashes, with the least innocent first. Each crash is explained by one part only. */
std::vector<CrashingPart> findCrashingParts(const CrashingPartTable&, TimePoint now);

/** Admits a single request with a blocked part from time to time, because no success can be recorded for a part that is
    blocked by mistake. `jitter` is from 0 to 1 and differs between daemons, so that the result of one trial reaches the
    others before theirs. */
bool takeTrial(CrashingPartTable&, const CrashingPart&, double jitter, TimePoint now);

/** The last crashes, for the peers. */
std::vector<EngineCrashReport> recentEngineCrashes(const CrashingPartTable&, TimePoint now);
/** The last first events with parts that crashes are counted against, for the peers. */
std::vector<PartBeginReport> recentPartBegins(const CrashingPartTable&, TimePoint now);

void expireCrashes(CrashingPartTable&, TimePoint now);

} // namespace chestnut

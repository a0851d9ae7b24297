#include "claims/ClaimFleet.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

enum class Action : uint8_t {
    Claim,
    Advance,
    LoseResponse,
    LoseWrite,
    DelayWrite,
    LoseReply,
    ToggleOutage,
    TogglePause,
    Restart,
    Complete,
    Abandon,
};

struct Step {
    Action action = Action::Claim;
    unsigned daemon = 0;
    unsigned key = 0;
    unsigned milliseconds = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << "{" << static_cast<int>(step.action) << ", d" << step.daemon << ", k" << step.key << ", " << step.milliseconds << "ms}";
}

constexpr unsigned daemons = 3;
constexpr unsigned keys = 4;

rc::Gen<Step> anyStep()
{
    // Half of the steps claim or advance the time, so that faults occur while claims are in progress.
    auto action = rc::gen::weightedElement<Action>({ { 6, Action::Claim }, { 6, Action::Advance }, { 2, Action::LoseResponse },
        { 2, Action::LoseWrite }, { 2, Action::DelayWrite }, { 1, Action::LoseReply }, { 1, Action::ToggleOutage },
        { 1, Action::TogglePause }, { 1, Action::Restart }, { 1, Action::Complete }, { 1, Action::Abandon } });
    auto toStep = [](Action chosen, unsigned daemon, unsigned key, unsigned milliseconds) {
        return Step { chosen, daemon, key, milliseconds };
    };
    return rc::gen::apply(toStep, action, rc::gen::inRange(0U, daemons), rc::gen::inRange(0U, keys), rc::gen::inRange(1U, 400U));
}

/** One daemon key, and shared keys of one shard, so that all writers write to one log. */
std::vector<std::string> chooseKeys(ClaimFleet& fleet)
{
    std::vector<std::string> chosen { fleet[0].claims.keyPrefix() + "." + fleet.keyOfAge(0s) };
    while (chosen.size() < keys) {
        auto key = fleet.keyOfAge(0s);
        if (claimShardOf(claimIdOf(AccountId("repairer"), key)) == 0)
            chosen.push_back(key);
    }
    return chosen;
}

void apply(ClaimFleet& fleet, const Step& step, const std::vector<std::string>& names, std::vector<std::shared_ptr<ClaimAttempt>>& attempts)
{
    auto& daemon = fleet[step.daemon];
    auto& faults = daemon.store.faults();
    switch (step.action) {
    case Action::Claim:
        attempts.push_back(fleet.claim(step.daemon, names[step.key]));
        break;
    case Action::Advance:
        fleet.advance(std::chrono::milliseconds(step.milliseconds));
        break;
    case Action::LoseResponse:
        ++faults.lostResponses;
        break;
    case Action::LoseWrite:
        ++faults.lostWrites;
        break;
    case Action::DelayWrite:
        ++faults.lateWrites;
        faults.lateDelay = std::chrono::milliseconds(10 * step.milliseconds);
        break;
    case Action::LoseReply:
        ++daemon.peers.lostReplies;
        break;
    case Action::ToggleOutage:
        faults.isOutage = !faults.isOutage;
        break;
    case Action::TogglePause:
        daemon.pause(!daemon.timers.isPaused);
        break;
    case Action::Restart:
        fleet.restart(step.daemon);
        fleet[step.daemon].store.faults().latency = 5ms;
        break;
    case Action::Complete:
        fleet.complete(step.daemon, names[step.key], "done");
        break;
    case Action::Abandon:
        fleet.abandon(step.daemon, names[step.key]);
        break;
    }
}

void removeFaults(ClaimFleet& fleet)
{
    for (size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        fleet[daemon].store.faults() = {};
        fleet[daemon].peers.lostReplies = 0;
        fleet[daemon].peers.isDown = false;
        fleet[daemon].pause(false);
    }
    fleet.advance(30s);
}

/** Checks that the logs have no gaps and are readable. */
void checkLog(ClaimFleet& fleet)
{
    auto epoch = claimEpochOf(fleet.timers.wallClock());
    for (unsigned shard = 0; shard < claimShards; ++shard) {
        std::map<std::string, uint64_t> next; // by log
        for (const auto& entry : fleet.model->list(claimRecordPrefix(epoch, shard))) {
            auto number = entry.key.rfind('/') + 1;
            RC_ASSERT(std::stoull(entry.key.substr(number)) == next[entry.key.substr(0, number)]++);
            RC_ASSERT(decodeRecord(entry.value).has_value());
        }
    }
}

void checkFleet(const std::vector<Step>& steps, bool isPartitioned)
{
    ClaimFleet fleet(daemons);
    for (size_t daemon = 0; daemon < daemons; ++daemon) {
        fleet[daemon].store.faults().latency = 5ms;
        fleet[daemon].peers.isDown = isPartitioned;
    }
    auto names = chooseKeys(fleet);
    std::vector<std::shared_ptr<ClaimAttempt>> attempts;
    for (const auto& step : steps)
        apply(fleet, step, names, attempts);
    removeFaults(fleet);
    RC_ASSERT(fleet.maximumDispatches() <= 1);
    checkLog(fleet);
    // Without faults, every key gets a decision, and a key whose attempts were all refused as "not run" runs once.
    std::set<std::string> claimed;
    for (const auto& attempt : attempts) {
        if (!attempt->isRefused(ErrorKind::ClaimUnavailable))
            claimed.insert(attempt->key);
    }
    for (const auto& name : names) {
        for (size_t daemon = 0; daemon < daemons; ++daemon) {
            auto attempt = fleet.claimAndWait(daemon, name);
            RC_ASSERT(attempt->decision.has_value());
            RC_ASSERT(!attempt->isRefused(ErrorKind::ClaimUnavailable));
        }
        RC_ASSERT(fleet.dispatches(name) <= 1);
        // The outcome of a daemon key stays unknown after a restart of its owner.
        bool isShared = parseClaimKey(name)->isShared();
        RC_ASSERT(!isShared || claimed.contains(name) || fleet.dispatches(name) == 1);
    }
}

} // namespace

// Guards against two dispatches of one call, and against a corrupt log, under any interleaving of several writers, lost
// and delayed writes, lost replies, outages, pauses and restarts.
TEST_CASE("random faults never dispatch a call twice")
{
    rc::detail::TestParams parameters;
    parameters.seed = 20240607;
    parameters.maxSuccess = 1000;
    parameters.maxSize = 60;
    // Without a partition, one daemon writes nearly all records; with a partition, all daemons write to the same log.
    auto property = [] { checkFleet(*rc::gen::container<std::vector<Step>>(anyStep()), *rc::gen::arbitrary<bool>()); };
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
    rc::detail::printResultMessage(result, std::cerr);
    CHECK(result.is<rc::detail::SuccessResult>());
}

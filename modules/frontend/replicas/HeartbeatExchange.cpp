#include "frontend/replicas/HeartbeatExchange.h"

#include "base/errors/MakeResult.h"
#include "kernel/signals/AutoResetEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace chestnut {

using nlohmann::json;

namespace {

    /** Limits of the entries in one heartbeat; with ids of usual length they take less than the allowed 1 KB. */
    constexpr size_t maximumSuspects = 6;
    constexpr size_t maximumLatencies = 12;
    /** Healthy replicas are reported from this ratio of measured to expected latency. */
    constexpr double reportedRatio = 1.5;

    constexpr std::string_view suspectsMessage = "suspects";
    constexpr Duration broadcastTimeout = std::chrono::milliseconds(300);
    /** No broadcast starts while this many are open: many replicas were then lost for another reason, such as the loss of a
        zone. */
    constexpr uint32_t maximumOpenBroadcasts = 4;

    json toJson(const Digest& digest, const LossHistory& lossHistory, TimePoint now)
    {
        auto replicas = json::array();
        for (const auto& replica : lossHistory.lostReplicas)
            replicas.push_back(replica.value());
        auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - lossHistory.lastLoss);
        return { { "d", toHex(digest) }, { "r", replicas }, { "a", lossHistory.ranAlone }, { "age_ms", age.count() } };
    }

    json suspectEntries(FrontendState& state)
    {
        std::vector<std::pair<Digest, LossHistory>> newest(state.quarantine.lossHistories.begin(), state.quarantine.lossHistories.end());
        std::ranges::sort(newest, std::greater(), [](const auto& entry) { return entry.second.lastLoss; });
        if (newest.size() > maximumSuspects)
            newest.resize(maximumSuspects);
        auto list = json::array();
        for (const auto& [digest, lossHistory] : newest)
            list.push_back(toJson(digest, lossHistory, state.now()));
        return list;
    }

    void mergeSuspects(FrontendState& state, const DaemonId&, const json& list)
    {
        for (const auto& item : list) {
            auto digest = digestFromHex(item.at("d").get<std::string>());
            if (!digest)
                continue;
            LossHistory lossHistory;
            for (const auto& replica : item.at("r"))
                lossHistory.lostReplicas.insert(ReplicaId(replica.get<std::string>()));
            lossHistory.ranAlone = item.at("a").get<bool>();
            lossHistory.lastLoss = state.now() - std::chrono::milliseconds(item.at("age_ms").get<int64_t>());
            mergeLossHistory(state.quarantine, *digest, lossHistory, state.now());
        }
    }

    json latencyEntries(FrontendState& state)
    {
        auto list = json::array();
        for (const auto& [group, latencies] : state.replicas->latencies()) {
            for (const auto& [id, latency] : latencies.replicas) {
                bool isNotable = latency.meanRatio >= reportedRatio || latency.health != ReplicaHealth::Healthy;
                if (isNotable && list.size() < maximumLatencies)
                    list.push_back(json::array({ id.value(), latency.meanRatio, latency.samples }));
            }
        }
        return list;
    }

    void mergeLatencies(FrontendState& state, const DaemonId&, const json& list)
    {
        for (const auto& item : list)
            state.replicas->mergePeerLatency(ReplicaId(item.at(0).get<std::string>()), item.at(1).get<double>(), item.at(2).get<double>());
    }

    json demandEntries(FrontendState& state)
    {
        return state.demand.report(state.now());
    }

    void mergeDemand(FrontendState& state, const DaemonId& sender, const json& list)
    {
        state.demand.merge(sender, list, state.now());
    }

    using Produce = json (*)(FrontendState&);
    using Merge = void (*)(FrontendState&, const DaemonId& sender, const json&);

    void registerExtension(const FrontendStatePointer& state, std::string key, Produce produce, Merge merge)
    {
        std::weak_ptr<FrontendState> weak = state;
        auto produceNow = [weak, produce]() -> json {
            auto locked = weak.lock();
            return locked ? produce(*locked) : json();
        };
        auto consume = [weak, merge](const DaemonId& sender, const json& value) {
            auto locked = weak.lock();
            if (!locked)
                return;
            try {
                merge(*locked, sender, value);
            } catch (const json::exception&) {
                // A peer of another version may use another format. Its entry is optional and is ignored.
            }
        };
        state->services.peers.extendHeartbeat({ std::move(key), produceNow, consume });
    }

    /** A broadcast and the number of members that have not replied to it yet. */
    struct LossHistoryBroadcast {
        explicit LossHistoryBroadcast(asio::io_context& context)
            : isDone(context)
        {
        }

        size_t pendingReplies = 0;
        AutoResetEvent isDone;
    };

    asio::awaitable<void> sendLossHistory(FrontendStatePointer state, std::shared_ptr<LossHistoryBroadcast> broadcast, DaemonId member, json list)
    {
        // A failure is ignored: the next heartbeats carry the same entry.
        co_await state->services.peers.call(std::move(member), std::string(suspectsMessage), std::move(list), broadcastTimeout);
        if (--broadcast->pendingReplies == 0)
            broadcast->isDone.notify();
    }

    void handleLossHistoryMessages(const FrontendStatePointer& state)
    {
        std::weak_ptr<FrontendState> weak = state;
        state->services.peers.handle(std::string(suspectsMessage), [weak](DaemonId sender, json body) -> asio::awaitable<Result<json>> {
            try {
                if (auto locked = weak.lock())
                    mergeSuspects(*locked, sender, body);
            } catch (const json::exception& exception) {
                co_return makeError(ErrorKind::BadJson, exception.what());
            }
            co_return makeResult(json::object());
        });
    }

} // namespace

void registerHeartbeatExtensions(const FrontendStatePointer& state)
{
    registerExtension(state, "suspects", suspectEntries, mergeSuspects);
    registerExtension(state, "latencies", latencyEntries, mergeLatencies);
    registerExtension(state, "demand", demandEntries, mergeDemand);
    handleLossHistoryMessages(state);
}

asio::awaitable<void> broadcastLossHistory(FrontendStatePointer state, Digest content)
{
    auto found = state->quarantine.lossHistories.find(content);
    if (found == state->quarantine.lossHistories.end() || state->openBroadcasts >= maximumOpenBroadcasts)
        co_return;
    bool isLikelyCause = found->second.ranAlone || isQuarantined(state->quarantine, content, state->now());
    if (!isLikelyCause)
        co_return;
    auto list = json::array({ toJson(content, found->second, state->now()) });
    auto broadcast = std::make_shared<LossHistoryBroadcast>(state->services.context);
    for (const auto& member : state->services.peers.members()) {
        if (member.id == state->services.peers.self())
            continue;
        ++broadcast->pendingReplies;
        asio::co_spawn(state->services.context, sendLossHistory(state, broadcast, member.id, list), asio::detached);
    }
    if (broadcast->pendingReplies == 0)
        co_return;
    ++state->openBroadcasts;
    co_await broadcast->isDone.waitFor(state->services.timers, broadcastTimeout);
    --state->openBroadcasts;
}

} // namespace chestnut

#include "control/status/FleetStatusService.h"

#include "base/errors/MakeResult.h"
#include "control/fleet/EngineNotice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr auto statusMessage = "engineStatus";
    constexpr Duration collectionPoll = std::chrono::milliseconds(20);

    nlohmann::json observedToJson(const ObservedEngine& observed)
    {
        auto object = desiredToJson(observed.running);
        object.erase("set_by");
        object["fencing_number"] = observed.fencingNumber;
        object["sequence"] = observed.sequence;
        object["ready"] = observed.isReady;
        return object;
    }

} // namespace

struct FleetStatusService::Collection {
    FleetStatus status;
    size_t pendingReplies = 0;
};

std::vector<ReportedEngine> FleetStatus::reported() const
{
    std::vector<ReportedEngine> list;
    list.reserve(engines.size());
    for (const auto& engine : engines)
        list.push_back({ engine.value("engine", ""), engine.value("phase", ""), engine.value("problem", ""), engine.value("revision", Revision { 0 }) });
    return list;
}

FleetStatusService::FleetStatusService(asio::io_context& context, OrderService& orders, PeerService& peers, TimerService& timers)
    : m_context(context)
    , m_orders(orders)
    , m_peers(peers)
    , m_timers(timers)
{
}

void FleetStatusService::start()
{
    m_peers.handle(statusMessage, [this](DaemonId, nlohmann::json) { return handleRequest(); });
}

nlohmann::json FleetStatusService::localEngines() const
{
    auto engines = nlohmann::json::array();
    for (const auto& status : m_orders.statuses()) {
        nlohmann::json object { { "engine", status.engine.value() }, { "group", status.group.value() }, { "holder", m_peers.self().value() },
            { "fencing_number", status.fencingNumber }, { "phase", status.phase }, { "problem", status.problem }, { "revision", status.revision },
            { "desired", desiredToJson(status.desired) } };
        if (status.observed)
            object["observed"] = observedToJson(*status.observed);
        engines.push_back(std::move(object));
    }
    return engines;
}

asio::awaitable<Result<nlohmann::json>> FleetStatusService::handleRequest() const
{
    co_return makeResult(nlohmann::json { { "engines", localEngines() } });
}

asio::awaitable<void> FleetStatusService::queryMember(PeerService& peers, DaemonId member, std::shared_ptr<Collection> collection)
{
    auto reply = co_await peers.call(member, statusMessage, nlohmann::json::object(), callTimeout);
    --collection->pendingReplies;
    if (!reply || !reply->is_object() || !reply->contains("engines") || !(*reply)["engines"].is_array()) {
        collection->status.unreachable.push_back(member.value());
        co_return;
    }
    for (auto& engine : (*reply)["engines"]) {
        if (engine.is_object())
            collection->status.engines.push_back(std::move(engine));
    }
}

asio::awaitable<FleetStatus> FleetStatusService::collect()
{
    auto collection = std::make_shared<Collection>();
    collection->status.engines = localEngines();
    for (const auto& member : m_peers.members()) {
        if (member.id == m_peers.self() || member.state == MemberState::Dropped)
            continue;
        ++collection->pendingReplies;
        asio::co_spawn(m_context, queryMember(m_peers, member.id, collection), asio::detached);
    }
    auto end = m_timers.now() + callTimeout + collectionPoll;
    while (collection->pendingReplies > 0 && m_timers.now() < end)
        co_await m_timers.sleep(collectionPoll);
    co_return collection->status;
}

} // namespace chestnut

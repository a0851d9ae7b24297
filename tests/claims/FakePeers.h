#pragma once

#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace chestnut {

class FakePeers;

/** The daemons of a test, which can reach each other. */
struct FakePeerNetwork {
    asio::any_io_executor executor;
    TimerService& timers;
    std::map<DaemonId, FakePeers*> daemons;
};

/** PeerService that calls the handlers of other daemons directly, with faults at the receiver. */
class FakePeers final : public PeerService {
public:
    FakePeers(FakePeerNetwork&, TimerService& ownTimers, DaemonId, Incarnation);

    bool isDown = false; /**< connections are refused */
    bool isUnresponsive = false; /**< requests are lost, so that calls time out */
    bool isUndiscovered = false; /**< the other daemons have not discovered it through heartbeats yet */
    unsigned lostReplies = 0; /**< number of next calls that are handled but whose replies are lost */

    void handle(std::string type, PeerHandler) override;
    void extendHeartbeat(HeartbeatExtension) override { }
    asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout) override;
    std::vector<MemberRecord> members() const override;
    std::optional<MemberRecord> member(const DaemonId&) const override;
    const DaemonId& self() const override { return m_record.id; }
    Incarnation incarnation() const override { return m_record.incarnation; }
    void announceState(MemberState state) override { m_record.state = state; }
    void announceRevision(Revision) override { }
    void announceLoad(uint32_t) override { }
    void onMemberChange(std::function<void(const MemberRecord&)>) override { }

private:
    FakePeerNetwork& m_network;
    TimerService& m_timers;
    MemberRecord m_record;
    std::map<std::string, PeerHandler> m_handlers;
};

} // namespace chestnut

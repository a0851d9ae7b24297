#pragma once

#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace chestnut {

class FakePeers;

/** The daemons that can reach each other in a test. */
struct FakePeerNetwork {
    asio::any_io_executor executor;
    TimerService& timers;
    std::map<DaemonId, FakePeers*> daemons;
};

/** PeerService by direct calls, with faults of the receiving side. */
class FakePeers final : public PeerService {
public:
    FakePeers(FakePeerNetwork&, TimerService& ownTimers, DaemonId, Incarnation);

    bool isDown = false; /**< connections are refused */
    bool isUnanswering = false; /**< requests are lost, so that calls time out */
    bool isUnknown = false; /**< heartbeats have not told the other daemons about it yet */
    unsigned lostReplies = 0; /**< the next calls are handled, and their replies are lost */

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

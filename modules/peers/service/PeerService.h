#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/membership/Member.h"
#include "kernel/registry/Service.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** Handles one type of message and returns the body of the reply. */
using PeerHandler = std::function<asio::awaitable<Result<nlohmann::json>>(DaemonId sender, nlohmann::json body)>;

/** A value that is sent with every heartbeat, such as latency summaries or loss histories of requests. */
struct HeartbeatExtension {
    std::string key;
    std::function<nlohmann::json()> produce; /**< must return at most 1 KB of CBOR */
    std::function<void(const DaemonId& sender, const nlohmann::json&)> consume; /**< called with the value of a peer's heartbeat */
};

/** Sends messages between daemons and maintains the membership by heartbeats. */
class PeerService : public Service {
public:
    static constexpr std::string_view serviceName = "peers";
    std::string_view name() const final { return serviceName; }

    /** Registers the handler of a message type. Asserts that the type has no handler. */
    virtual void handle(std::string type, PeerHandler) = 0;
    virtual void extendHeartbeat(HeartbeatExtension) = 0;

    /** Sends a message and waits for the reply. Errors: ConnectFailed when nothing was sent, OutcomeUnknown when no reply
        arrived in time, and any error that the peer's handler returns. */
    virtual asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout) = 0;

    /** All members including this daemon, sorted by id. Suspected members are included, dropped ones are not. */
    virtual std::vector<MemberRecord> members() const = 0;
    virtual std::optional<MemberRecord> member(const DaemonId&) const = 0;
    virtual const DaemonId& self() const = 0;
    virtual Incarnation incarnation() const = 0;

    virtual void announceState(MemberState) = 0;
    virtual void announceRevision(Revision) = 0;
    virtual void announceLoad(uint32_t loadPermille) = 0;

    /** Registers a callback for changes of a member's state, incarnation or revision. */
    virtual void onMemberChange(std::function<void(const MemberRecord&)>) = 0;
};

} // namespace chestnut

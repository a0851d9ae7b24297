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

/** Answers one kind of message from a peer. */
using PeerHandler = std::function<asio::awaitable<Result<nlohmann::json>>(DaemonId sender, nlohmann::json body)>;

/** A value that rides on every heartbeat, such as load digests or suspected requests. */
struct HeartbeatExtension {
    std::string key;
    std::function<nlohmann::json()> produce; /**< must return at most 1 KB of CBOR */
    std::function<void(const DaemonId& sender, const nlohmann::json&)> consume;
};

/** Messages between daemons and the membership that heartbeats maintain. */
class PeerService : public Service {
public:
    static constexpr std::string_view serviceName = "peers";
    std::string_view name() const final { return serviceName; }

    /** Registers the handler for a message type. Asserts that the type has none yet. */
    virtual void handle(std::string type, PeerHandler) = 0;
    virtual void extendHeartbeat(HeartbeatExtension) = 0;

    /** Sends a message and awaits its reply. Errors: ConnectFailed when nothing was sent, OutcomeUnknown when no reply
        came in time, and whatever error the peer's handler returned. */
    virtual asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout) = 0;

    /** All known members, this daemon included, by id. Suspected members are included, dropped ones are not. */
    virtual std::vector<MemberRecord> members() const = 0;
    virtual std::optional<MemberRecord> member(const DaemonId&) const = 0;
    virtual const DaemonId& self() const = 0;
    virtual Incarnation incarnation() const = 0;

    virtual void announceState(MemberState) = 0;
    virtual void announceRevision(Revision) = 0;
    virtual void announceLoad(uint32_t loadPermille) = 0;

    /** Calls back when a member's record changes in state, incarnation or revision. */
    virtual void onMemberChange(std::function<void(const MemberRecord&)>) = 0;
};

} // namespace chestnut

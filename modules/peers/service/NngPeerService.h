#pragma once

#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"
#include "peers/codec/PeerMessage.h"
#include "peers/service/PeerService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

struct NngPeerOptions {
    std::string deployment;
    DaemonId id;
    AvailabilityZone zone;
    Region region;
    std::string callerAddress;
    Endpoint listenAddress; /**< announced to peers with the bound port */
    std::vector<Endpoint> seeds; /**< addresses of peers from the settings */
    Incarnation incarnation = 0; /**< wall-clock milliseconds at the start of the process */
    uint64_t randomSeed = 0;
    ProtocolVersion version;
};

/** A PeerService over nng. */
class NngPeerService final : public PeerService {
public:
    using Bootstrap = std::function<std::vector<Endpoint>()>;
    /** Returns whether requests may be sent to an address. Tests use it to simulate partitions. */
    using LinkFilter = std::function<bool(const std::string& address)>;

    /** @param bootstrap returns further addresses of possible peers, such as those in the VM list */
    NngPeerService(asio::io_context&, TimerService&, Log&, Metrics&, NngPeerOptions, Bootstrap bootstrap = {}, LinkFilter linkFilter = {});
    ~NngPeerService() override;

    /** Opens the listener and starts heartbeats. Throws std::runtime_error when the address cannot be bound. */
    void start() override;
    asio::awaitable<void> stop() override;

    void handle(std::string type, PeerHandler) override;
    void extendHeartbeat(HeartbeatExtension) override;
    asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout) override;
    std::vector<MemberRecord> members() const override;
    std::optional<MemberRecord> member(const DaemonId&) const override;
    const DaemonId& self() const override;
    Incarnation incarnation() const override;
    void announceState(MemberState) override;
    void announceRevision(Revision) override;
    void announceLoad(uint32_t loadPermille) override;
    void onMemberChange(std::function<void(const MemberRecord&)>) override;

private:
    class State;

    std::shared_ptr<State> m_state; // shared with the coroutines of heartbeats and requests
};

} // namespace chestnut

#pragma once

#include "base/ids/StrongId.h"
#include "gateway/store/StoreMirror.h"
#include "gateway/store/VersionedStore.h"
#include "kernel/settings/SettingsReader.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace chestnut {

/** One daemon as it registers itself in the store. */
struct DaemonRecord {
    DaemonId id;
    AvailabilityZone zone;
    Endpoint clientEndpoint; /**< where clients connect */
    Endpoint peerEndpoint; /**< where it receives load news */

    bool operator==(const DaemonRecord&) const = default;
};

std::string encodeDaemonRecord(const DaemonRecord&);
/** Fails with ProtocolError. */
Result<DaemonRecord> decodeDaemonRecord(std::string_view);

/** What a daemon knows of the others: registered or not, heard of or not. */
struct DaemonView {
    DaemonRecord record;
    bool isRegistered = false;
    Duration silence {}; /**< since the last news from itself */
    bool wasHeard = false;
    bool isLeaving = false;
};

/** Whether clients may be sent to a daemon. News from the daemon itself counts more than its registration, which may have
    lapsed with the store, or outlive a killed daemon until its lease ends. */
bool isEntryPoint(const DaemonView&);

/** The addresses for a client in a zone: those of the zone, because bytes between zones are billed, or all when the zone has
    none. A daemon spends a tenth of its processor share at today's rates, so one alone can serve its zone. */
std::vector<Endpoint> entryPointsFor(const std::vector<DaemonView>&, const AvailabilityZone&);

/** Registers this daemon in the store under a lease and knows the others. */
class DaemonDirectory : public Service, public std::enable_shared_from_this<DaemonDirectory> {
public:
    static constexpr std::string_view serviceName = "daemondirectory";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the keys of the daemons. `onStoreReturned` is called when the store answers after a failed renewal. */
    DaemonDirectory(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, DaemonRecord self, std::function<void()> onStoreReturned);

    void start() override;

    /** Ends the registration. */
    asio::awaitable<void> withdraw();

    const DaemonRecord& self() const { return m_self; }

    /** News from a daemon itself. */
    void heard(const DaemonRecord&, bool isLeaving);

    /** Another daemon has news from this one. */
    void heardOf(const DaemonId&);

    /** All other daemons that are registered or were heard of lately. */
    std::vector<DaemonView> others() const;

    /** Daemons that share the retry budget, this one included; at least one. */
    uint32_t activeDaemons() const;

    /** Whether the last renewal of the registration failed. */
    bool isStoreAway() const { return m_isStoreAway; }

private:
    asio::awaitable<void> keepRegistered();
    asio::awaitable<Result<void>> registerSelf();
    void onItem(const StoreItem&);
    void onRemoval(const std::string& key);

    struct Known {
        DaemonRecord record;
        bool isRegistered = false;
        bool isLeaving = false;
        std::optional<TimePoint> heardAt;
        TimePoint registeredAt;
    };

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    DaemonRecord m_self;
    std::shared_ptr<StoreMirror> m_mirror;
    std::map<DaemonId, Known> m_known;
    std::function<void()> m_onStoreReturned;
    uint64_t m_lease = 0;
    bool m_isStoreAway = false;
    bool m_isWithdrawn = false;
};

} // namespace chestnut

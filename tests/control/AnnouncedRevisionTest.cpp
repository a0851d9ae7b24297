#include "control/configuration/ConfigurationDocument.h"
#include "control/configuration/StoredConfigurationService.h"
#include "control/Fakes.h"
#include "control/tickets/TicketService.h"
#include "decisions/leases/Lease.h"

#include <doctest/doctest.h>
#include <random>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr int trials = 1000;
constexpr double lagShare = 0.3; // share of reads that lag
constexpr double outageShare = 0.1; // share of starts in an outage
constexpr Duration longestLag = 2s;
constexpr Duration readyTimeout = 5s;

Configuration configurationOf(Revision revision)
{
    Configuration configuration;
    configuration.revision = revision;
    return configuration;
}

KeyValueEntry entryOf(Revision revision)
{
    return { std::string(configurationStoreKey), encodeStoredDocument(configurationOf(revision)), revision, 0, "" };
}

struct Counts {
    size_t reads = 0;
    int stale = 0;
    int late = 0; /**< not ready after 5 s */
};

std::ostream& operator<<(std::ostream& out, const Counts& counts)
{
    return out << counts.reads << " reads, " << counts.stale << " stale, " << counts.late << " not ready after 5 s";
}

MemberRecord recordOf(const std::string& id)
{
    return { DaemonId(id), 1, 0, MemberState::Ready, AvailabilityZone("a"), Region("r"), "", "", 0, 0 };
}

struct Member {
    Member(asio::io_context& context, VirtualTimerService& timers, PeerNetwork& network, const std::string& id)
        : store(timers)
        , peers(network, recordOf(id))
        , configuration(context, store, peers, timers, log)
    {
    }

    Revision revision() const { return configuration.current() ? configuration.current()->revision : 0; }

    MemoryLog log;
    MemoryKeyValueStore store;
    FakePeerService peers;
    StoredConfigurationService configuration;
};

struct Fleet {
    explicit Fleet(bool hasPeers)
    {
        std::vector<MemberRecord> records { recordOf("d0"), recordOf("d1"), recordOf("d2") };
        std::vector<std::string> watchers;
        std::string other;
        for (const auto& record : records) {
            if (isConfigurationWatcher(record.id, records))
                watchers.push_back(record.id.value());
            else
                other = record.id.value();
        }
        for (const auto& id : watchers) {
            // Without the rule, the peers are members, but the daemon gets no revisions from them.
            network.records[DaemonId(id)] = recordOf(id);
            if (hasPeers)
                peers.push_back(std::make_unique<Member>(context, timers, network, id));
        }
        self = std::make_unique<Member>(context, timers, network, other);
    }

    void accept(Revision revision)
    {
        for (auto& peer : peers)
            peer->configuration.applyIfNewer(configurationOf(revision));
        self->store.entries[std::string(configurationStoreKey)] = entryOf(revision);
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    PeerNetwork network;
    std::vector<std::unique_ptr<Member>> peers;
    std::unique_ptr<Member> self;
};

enum class Rule : uint8_t {
    AnnouncedRevision, /**< waits until the configuration is as new as the announced revision */
    PlainRead, /**< reads the key, which may lag */
    Source, /**< reads the key at its source, which never lags */
};

/** Starts one daemon after revision 2 was accepted, while a lagging read still returns revision 1. */
void startDaemon(Rule rule, std::mt19937_64& rng, Counts& counts)
{
    std::uniform_real_distribution<> share;
    bool isLagging = share(rng) < lagShare;
    auto lag = fromSeconds(share(rng) * toSeconds(longestLag));
    bool isDown = share(rng) < outageShare;
    Fleet fleet(rule == Rule::AnnouncedRevision);
    for (auto& peer : fleet.peers)
        peer->configuration.start();
    fleet.accept(2);
    auto& self = *fleet.self;
    self.store.isDown = isDown;
    if (isLagging && rule != Rule::Source)
        self.store.staleConfiguration = entryOf(1);
    auto lagTimer = fleet.timers.once(lag, [&self] { self.store.staleConfiguration.reset(); });
    self.configuration.start();
    auto end = fleet.timers.now() + readyTimeout;
    while (!self.configuration.isReady() && fleet.timers.now() < end)
        fleet.timers.advance(10ms);
    counts.reads += self.store.reads;
    counts.late += self.configuration.isReady() ? 0 : 1;
    counts.stale += self.configuration.isReady() && self.revision() < 2 ? 1 : 0;
}

/** Applies the rule to changes that are announced to a running daemon. */
Counts followChanges(Rule rule)
{
    std::mt19937_64 rng(29);
    std::uniform_real_distribution<> share;
    Fleet fleet(true);
    for (auto& peer : fleet.peers)
        peer->configuration.start();
    fleet.accept(1);
    auto& self = *fleet.self;
    self.configuration.start();
    fleet.timers.advance(2s);
    self.store.reads = 0;
    Counts counts;
    for (Revision revision = 2; revision < 2 + trials; ++revision) {
        fleet.accept(revision);
        bool isLagging = share(rng) < lagShare;
        if (rule == Rule::AnnouncedRevision) {
            fleet.timers.advance(StoredConfigurationService::pullPeriod);
            counts.stale += self.revision() < revision ? 1 : 0;
            continue;
        }
        // The baselines read the key for each change instead of pulling from the peer that announced it.
        ++counts.reads;
        counts.stale += rule == Rule::PlainRead && isLagging ? 1 : 0;
    }
    counts.reads += self.store.reads;
    return counts;
}

} // namespace

// Guards against a daemon that serves an older configuration than one that its peers already use. The rule is the
// session guarantee of "Lazy Database Replication with Snapshot Isolation": a reader waits until its replica has caught
// up with the newest state that the client has read.
TEST_CASE("waiting for the announced revision needs fewer reads than reading the source and never uses a stale configuration")
{
    std::map<Rule, Counts> starts;
    for (auto rule : { Rule::AnnouncedRevision, Rule::PlainRead, Rule::Source }) {
        std::mt19937_64 rng(17);
        for (int trial = 0; trial < trials; ++trial)
            startDaemon(rule, rng, starts[rule]);
    }
    auto announced = followChanges(Rule::AnnouncedRevision);
    auto plain = followChanges(Rule::PlainRead);
    auto source = followChanges(Rule::Source);
    MESSAGE("1,000 starts: announced revision " << starts[Rule::AnnouncedRevision] << "; plain " << starts[Rule::PlainRead] << "; source " << starts[Rule::Source]);
    MESSAGE("1,000 changes: announced revision " << announced << "; plain " << plain << "; source " << source);
    CHECK(starts[Rule::AnnouncedRevision].stale == 0);
    CHECK(starts[Rule::AnnouncedRevision].late == 0);
    CHECK(announced.stale == 0);
    CHECK(announced.reads < source.reads);
    CHECK(starts[Rule::PlainRead].stale > 0);
}

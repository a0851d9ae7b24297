#include "decisions/replicas/ReplicaRegistry.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const ReplicaId replica("i-1");

ReplicaEntry entryOf(int64_t startedAt, int64_t heartbeat, bool isDraining = false)
{
    ReplicaEntry entry;
    entry.id = replica;
    entry.service = ServiceId("s");
    entry.address = "10.0.0.1:80";
    entry.startedAt = startedAt;
    entry.heartbeat = heartbeat;
    entry.isDraining = isDraining;
    return entry;
}

ReplicaStatus statusIn(const ReplicaRegistry& registry)
{
    return registry.replicas.at(replica).status;
}

} // namespace

TEST_CASE("a replica that announced its departure does not become ready by a late heartbeat")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 5));
    applyEntry(registry, entryOf(1, 7, true));
    CHECK(statusIn(registry) == ReplicaStatus::Draining);
    CHECK_FALSE(applyEntry(registry, entryOf(1, 6)));
    CHECK_FALSE(applyEntry(registry, entryOf(1, 8)));
    CHECK(statusIn(registry) == ReplicaStatus::Draining);
}

TEST_CASE("a replica restarted under its old id is a new one, which heartbeats of its first start do not affect")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 50, true));
    CHECK(applyEntry(registry, entryOf(2, 1)));
    CHECK(statusIn(registry) == ReplicaStatus::Ready);
    CHECK_FALSE(applyEntry(registry, entryOf(1, 51, true)));
    CHECK(statusIn(registry) == ReplicaStatus::Ready);
}

TEST_CASE("a removed replica gets no more work, and an entry with the same heartbeat does not make it ready")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 5));
    CHECK(applyRemoval(registry, replica, start, 0s));
    CHECK(statusIn(registry) == ReplicaStatus::Removed);
    CHECK_FALSE(applyEntry(registry, entryOf(1, 5)));
    CHECK(applyEntry(registry, entryOf(1, 6)));
    CHECK(statusIn(registry) == ReplicaStatus::Ready);
}

TEST_CASE("a replica whose entry lapsed in a store outage stays usable until its grace time ends")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 5));
    applyRemoval(registry, replica, start, 2500ms);
    CHECK(mayReceiveWork(registry.replicas.at(replica)));
    CHECK(expireLapsed(registry, start + 2400ms).empty());
    CHECK(expireLapsed(registry, start + 2500ms) == std::vector { replica });
    CHECK(statusIn(registry) == ReplicaStatus::Removed);
}

TEST_CASE("a draining replica gets no grace time when its entry is removed")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 5, true));
    applyRemoval(registry, replica, start, 2500ms);
    CHECK(statusIn(registry) == ReplicaStatus::Removed);
}

TEST_CASE("an announced departure holds through newer heartbeats, removals and late reports, and ends with a new start")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 9));
    // The daemon that reports the departure has read an earlier heartbeat.
    CHECK(applyLeavingReport(registry, { replica, 1, 5, true }, start));
    CHECK_FALSE(applyEntry(registry, entryOf(1, 10)));
    applyRemoval(registry, replica, start, 2500ms);
    CHECK_FALSE(applyEntry(registry, entryOf(1, 11)));
    CHECK_FALSE(mayReceiveWork(registry.replicas.at(replica)));
    eraseRemoved(registry, start + removedRetention);
    applyEntry(registry, entryOf(1, 12));
    CHECK(statusIn(registry) == ReplicaStatus::Draining);
    CHECK(applyEntry(registry, entryOf(2, 1)));
    CHECK(statusIn(registry) == ReplicaStatus::Ready);
    CHECK_FALSE(applyLeavingReport(registry, { replica, 1, 20, true }, start));
    CHECK(statusIn(registry) == ReplicaStatus::Ready);
}

// Guards against records that stay for good: no removal follows when the entry has lapsed already.
TEST_CASE("a lapsed replica that announces its departure is removed at the end of its grace time")
{
    ReplicaRegistry registry;
    applyEntry(registry, entryOf(1, 5));
    applyRemoval(registry, replica, start, 2500ms);
    CHECK(applyLeavingReport(registry, { replica, 1, 5, true }, start));
    expireLapsed(registry, start + 2400ms);
    CHECK(statusIn(registry) == ReplicaStatus::Draining);
    expireLapsed(registry, start + 2500ms);
    CHECK(statusIn(registry) == ReplicaStatus::Removed);
}

TEST_CASE("the departure of a start whose entry has not been read yet holds once it is read")
{
    ReplicaRegistry registry;
    applyLeavingReport(registry, { replica, 2, 1, true }, start);
    applyEntry(registry, entryOf(2, 1));
    CHECK(statusIn(registry) == ReplicaStatus::Draining);
}

TEST_CASE("a heartbeat that only increases its number is not reported as a change")
{
    ReplicaRegistry registry;
    CHECK(applyEntry(registry, entryOf(1, 5)));
    CHECK_FALSE(applyEntry(registry, entryOf(1, 6)));
    auto moved = entryOf(1, 7);
    moved.stage = EngineStage::Prefill;
    CHECK(applyEntry(registry, moved));
}

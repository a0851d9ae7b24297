#include "decisions/versions/PeerVersions.h"

#include <doctest/doctest.h>
#include <map>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

AnnouncedVersion peer(const std::string& id, uint64_t version, bool isSettled = true, TimePoint heardAt = start)
{
    return { DaemonId(id), version, isSettled, heardAt, {} };
}

PeerVersionsView viewWith(std::vector<AnnouncedVersion> peers, bool isSettled = true)
{
    return { 1, false, isSettled, start, 100ms, std::move(peers) };
}

std::optional<size_t> chosen(const PeerVersionsView& view, TimePoint now, uint64_t seed = 1)
{
    std::mt19937_64 random(seed);
    return choosePeerToFetchFrom(view, now, random);
}

} // namespace

// Guards against a fleet that fetches each change from its peers although the store delivers it.
TEST_CASE("a daemon waits for the store before it fetches from a peer, unless the store fails or it is starting")
{
    auto view = viewWith({ peer("d1", 2) });
    CHECK_FALSE(chosen(view, start).has_value());
    CHECK_FALSE(chosen(view, start + 699ms).has_value());
    CHECK(chosen(view, start + 700ms) == 0);
    view.isStoreFailing = true;
    CHECK(chosen(view, start) == 0);
    CHECK(chosen(viewWith({ peer("d1", 2) }, false), start) == 0);
}

// Guards against fetches that bring nothing, and against a stopped daemon that is asked again and again.
TEST_CASE("only a live daemon with a higher version is asked")
{
    auto now = start + 1s;
    CHECK_FALSE(chosen(viewWith({}), now).has_value());
    CHECK_FALSE(chosen(viewWith({ peer("d1", 1), peer("d2", 0) }), now).has_value());
    CHECK_FALSE(chosen(viewWith({ peer("d1", 2, true, now - announcementTimeout) }), now).has_value());
}

// Guards against a daemon that announces a version it does not have, and so keeps the others from a real one.
TEST_CASE("a daemon whose announcement was wrong is passed over until its retry time")
{
    auto now = start + 1s;
    auto view = viewWith({ peer("d1", 900), peer("d2", 2) });
    CHECK(chosen(view, now) == 0);
    view.peers[0].retryAt = now + 1ms;
    CHECK(chosen(view, now) == 1);
    CHECK(chosen(view, now + 1ms) == 0);
}

// Guards against one daemon that sends the configuration to a whole zone.
TEST_CASE("daemons choose different peers among those with the highest version")
{
    auto view = viewWith({ peer("d1", 3), peer("d2", 2), peer("d3", 3), peer("d4", 3) });
    std::map<size_t, int> counts;
    for (uint64_t seed = 0; seed < 300; ++seed)
        ++counts[*chosen(view, start + 1s, seed)];
    CHECK(counts.size() == 3);
    CHECK_FALSE(counts.contains(1));
    for (auto [index, count] : counts)
        CHECK(count > 60);
}

// Guards against a daemon that serves an old copy of a restored store, and against one that never serves.
TEST_CASE("a starting daemon waits for its peers as long as that can help")
{
    auto settles = [](std::vector<AnnouncedVersion> peers, Duration after) { return hasSettled(viewWith(std::move(peers), false), start, start + after); };
    CHECK_FALSE(settles({}, 499ms));
    CHECK(settles({}, firstAnnouncementWait));
    CHECK(settles({ peer("d1", 1) }, 50ms));
    // A daemon that has just started itself may have read the same old copy.
    CHECK_FALSE(settles({ peer("d1", 1, false) }, 50ms));
    CHECK(settles({ peer("d1", 1, false) }, firstAnnouncementWait));
    CHECK_FALSE(settles({ peer("d1", 2, true, start + 5s) }, 5s));
    CHECK_FALSE(settles({ peer("d1", 2, false) }, 1s));
    // A peer that announces what it does not have keeps nobody from serving.
    CHECK(settles({ peer("d1", 2, true, start + 6s) }, longestSettlingTime));
    // One that has stopped is not waited for.
    CHECK(settles({ peer("d1", 2) }, announcementTimeout));
}

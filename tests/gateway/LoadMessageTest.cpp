#include "gateway/members/LoadMessage.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chestnut;

namespace {

/** Ids as long as the longest in use. */
std::string longId(const std::string& prefix, int number)
{
    return prefix + "-0123456789abcdef-" + std::to_string(100'000 + number);
}

LoadMessage newsOfFleet(int replicas, int daemons, int leaving)
{
    LoadMessage news { { DaemonId("d0"), AvailabilityZone("zone-a"), { "10.0.0.1", 80 }, { "10.0.0.1", 9000 } }, LoadScope::Fleet, true };
    for (int i = 0; i < replicas; ++i)
        news.work.push_back({ ReplicaId(longId("replica", i)), 8, 12345, 67890 });
    for (int i = 0; i < daemons; ++i)
        news.living.emplace_back(longId("daemon", i));
    for (int i = 0; i < leaving; ++i)
        news.leavingReplicas.push_back({ ReplicaId(longId("replica", i)), 1'796'374'817'144, 1234, true });
    news.losses.push_back({ { digestOf("content"), RequestId("r1"), ReplicaId("i-1") }, std::chrono::milliseconds(20), std::chrono::milliseconds(7) });
    news.served.push_back({ digestOf("other"), std::chrono::milliseconds(300) });
    news.pausedReplicas.push_back({ ReplicaId("i-2"), 17 });
    for (int i = 0; i < replicas / 5; ++i)
        news.entries.push_back({ ReplicaId(longId("replica", i)), ServiceId("service-0123456789"), "10.255.255.255:65535", AvailabilityZone("zone-0123456789"), 48, false, EngineStage::Decode, 1'796'374'817'144, 1234 });
    news.seesStore = false;
    return news;
}

} // namespace

TEST_CASE("load news survives its way, and a datagram that is none is refused")
{
    LoadMessage news { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Fleet, true, { { ReplicaId("i-1"), 3, 500, 40 } }, { { { Digest { 1, 2 }, RequestId("q1"), ReplicaId("i-1") }, Duration(5), Duration(6) } }, { { Digest { 3, 4 }, Duration(7) } }, { { ReplicaId("i-8"), 17, 4, true } }, { { ReplicaId("i-9"), 77 } }, {}, true, { DaemonId("d2") } };
    auto decoded = decodeLoadMessage(encodeLoadMessage(news).front());
    REQUIRE(decoded.has_value());
    CHECK(*decoded == news);
    CHECK_FALSE(decodeLoadMessage("").has_value());
    CHECK_FALSE(decodeLoadMessage("not a message").has_value());
    auto torn = encodeLoadMessage(news).front();
    torn.resize(torn.size() / 2);
    CHECK_FALSE(decodeLoadMessage(torn).has_value());
}

TEST_CASE("the news of a small fleet fits one datagram and is read as written")
{
    auto news = newsOfFleet(17, 6, 2);
    auto datagrams = encodeLoadMessage(news);
    REQUIRE(datagrams.size() == 1);
    auto read = decodeLoadMessage(datagrams.front());
    REQUIRE(read.has_value());
    CHECK(*read == news);
}

// Guards against datagrams of the two-year target, 330 daemons and 650 replicas, that are cut off at the receiver.
TEST_CASE("the news of a large fleet is divided into datagrams that lose nothing")
{
    auto news = newsOfFleet(650, 330, 200);
    LoadMessage joined { news.sender, news.scope, news.isLeaving };
    for (const auto& datagram : encodeLoadMessage(news)) {
        CHECK(datagram.size() <= maximumDatagram);
        auto part = decodeLoadMessage(datagram);
        REQUIRE(part.has_value());
        joined.work.insert(joined.work.end(), part->work.begin(), part->work.end());
        joined.living.insert(joined.living.end(), part->living.begin(), part->living.end());
        joined.leavingReplicas.insert(joined.leavingReplicas.end(), part->leavingReplicas.begin(), part->leavingReplicas.end());
        joined.entries.insert(joined.entries.end(), part->entries.begin(), part->entries.end());
        CHECK(part->losses == news.losses);
        CHECK(part->pausedReplicas == news.pausedReplicas);
    }
    CHECK(joined.work == news.work);
    CHECK(joined.living == news.living);
    CHECK(joined.leavingReplicas == news.leavingReplicas);
    CHECK(joined.entries == news.entries);
}

// Guards against memory that a broken or foreign datagram makes a receiver reserve.
TEST_CASE("a datagram that names an impossible part is refused")
{
    auto datagram = encodeLoadMessage(newsOfFleet(1, 1, 1)).front();
    auto document = nlohmann::json::from_cbor(datagram);
    auto isRead = [&document](uint32_t index, uint32_t count) {
        document["part"] = { index, count };
        auto bytes = nlohmann::json::to_cbor(document);
        return decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }).has_value();
    };
    CHECK(isRead(0, 1));
    CHECK_FALSE(isRead(1, 1));
    CHECK_FALSE(isRead(0, 0));
    CHECK_FALSE(isRead(0, 4'000'000'000));
}

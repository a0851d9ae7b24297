#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace chestnut {

/** A version of the configuration that another daemon has announced. */
struct AnnouncedVersion {
    DaemonId daemon;
    uint64_t version = 0;
    bool isSettled = false; /**< the daemon itself has asked its peers since it started; see hasSettled() */
    TimePoint heardAt; /**< last announcement */
    TimePoint retryAt; /**< no fetch from this daemon before, because an earlier one failed */
};

/** What a daemon knows when it decides whether to fetch a configuration from a peer. */
struct PeerVersionsView {
    uint64_t ownVersion = 0; /**< zero: none */
    bool isStoreFailing = false; /**< for this daemon */
    bool isSettled = false;
    TimePoint higherSince; /**< since when a higher version than the own one is known */
    Duration spread {}; /**< random part of the wait for the store, of this daemon; at most peerFetchSpread */
    std::vector<AnnouncedVersion> peers;
};

/** Time that a daemon waits for the store to deliver a higher version before it asks a peer. */
constexpr Duration storeDeliveryTime = std::chrono::milliseconds(600);
/** Largest random part of that wait, so that the daemons of a zone do not fetch at the same moment. */
constexpr Duration peerFetchSpread = std::chrono::milliseconds(300);
/** A daemon that has sent no message for this long may have stopped and is not asked. */
constexpr Duration announcementTimeout = std::chrono::seconds(2);
/** How long a starting daemon waits for the first announcement. Load messages are sent every 50 to 160 ms, and a peer that has
    just heard of this daemon replies with its next one. */
constexpr Duration firstAnnouncementWait = std::chrono::milliseconds(500);
/** Longest wait of a starting daemon for a higher version that its peers announce and do not deliver. Then it serves with the
    version of the store, as a faulty peer must not keep it from serving. */
constexpr Duration longestSettlingTime = std::chrono::seconds(6);

/** Chooses the peer to fetch a higher version from, or none. Handles a store that rejects some daemons, is slow, or has been
    restored from an older copy: a daemon takes the version from peers, each at another moment and at a random one of those that
    have it. A peer whose announcement turned out wrong is passed over until its retry time, so it hides no other. */
std::optional<size_t> choosePeerToFetchFrom(const PeerVersionsView&, TimePoint now, std::mt19937_64&);

/** Whether a starting daemon may serve with its version: a settled peer has announced none that is higher, or there was no
    announcement in time. `listedAt` is when the store has named the other daemons. */
bool hasSettled(const PeerVersionsView&, TimePoint listedAt, TimePoint now);

} // namespace chestnut

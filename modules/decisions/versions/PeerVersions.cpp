#include "decisions/versions/PeerVersions.h"

#include <algorithm>

namespace chestnut {

namespace {

    bool isAlive(const AnnouncedVersion& peer, TimePoint now)
    {
        return now - peer.heardAt < announcementTimeout;
    }

    /** The peers from which a fetch makes sense now. */
    std::vector<size_t> candidates(const PeerVersionsView& view, TimePoint now)
    {
        std::vector<size_t> indices;
        for (size_t i = 0; i < view.peers.size(); ++i) {
            const auto& peer = view.peers[i];
            if (peer.version > view.ownVersion && isAlive(peer, now) && now >= peer.retryAt)
                indices.push_back(i);
        }
        return indices;
    }

    bool mayStoreStillDeliver(const PeerVersionsView& view, TimePoint now)
    {
        if (!view.isSettled || view.isStoreFailing)
            return false;
        return now - view.higherSince < storeDeliveryTime + view.spread;
    }

} // namespace

std::optional<size_t> choosePeerToFetchFrom(const PeerVersionsView& view, TimePoint now, std::mt19937_64& random)
{
    auto indices = candidates(view, now);
    if (indices.empty() || mayStoreStillDeliver(view, now))
        return std::nullopt;
    uint64_t highest = 0;
    for (auto index : indices)
        highest = std::max(highest, view.peers[index].version);
    std::erase_if(indices, [&](size_t index) { return view.peers[index].version < highest; });
    std::uniform_int_distribution<size_t> choice(0, indices.size() - 1);
    return indices[choice(random)];
}

bool hasSettled(const PeerVersionsView& view, TimePoint listedAt, TimePoint now)
{
    auto isHigher = [&](const AnnouncedVersion& peer) { return isAlive(peer, now) && peer.version > view.ownVersion; };
    if (std::ranges::any_of(view.peers, isHigher))
        return now - listedAt >= longestSettlingTime;
    auto isAnswer = [&](const AnnouncedVersion& peer) { return isAlive(peer, now) && peer.isSettled; };
    return std::ranges::any_of(view.peers, isAnswer) || now - listedAt >= firstAnnouncementWait;
}

} // namespace chestnut

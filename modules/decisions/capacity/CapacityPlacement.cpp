#include "decisions/capacity/CapacityPlacement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace chestnut {

namespace {

    /** Requests that are distributed even if no other daemon has begun one, so that replicas with equal load are equally likely. It
        is below the number at which a single idle replica of the own zone would leave requests to other zones. */
    constexpr double leastDistributed = 0.5;

    /** The load that a replica can take in. */
    struct Room {
        size_t index = 0; /**< in the views */
        double occupied = 0; /**< share of the capacity, with penalties */
        double capacity = 1; /**< in requests */
    };

    /** The occupancy up to which this number of requests fills the rooms when they are distributed evenly. */
    double levelAfter(std::vector<Room> rooms, double requests)
    {
        std::ranges::sort(rooms, {}, &Room::occupied);
        double capacity = 0;
        double filled = requests;
        for (size_t i = 0; i < rooms.size(); ++i) {
            capacity += rooms[i].capacity;
            filled += rooms[i].occupied * rooms[i].capacity;
            auto level = filled / capacity;
            if (i + 1 == rooms.size() || level <= rooms[i + 1].occupied)
                return level;
        }
        return 0;
    }

    struct ZoneLoad {
        std::vector<Room> rooms;
        double unseen = 0; /**< requests that have probably begun since the reports */
    };

    std::map<AvailabilityZone, ZoneLoad> loadOfZones(std::span<const PlacementView> views, double replacedShare)
    {
        std::map<AvailabilityZone, ZoneLoad> zones;
        for (size_t i = 0; i < views.size(); ++i) {
            const auto& view = views[i];
            if (!isEligible(view))
                continue;
            auto replaced = replacedShare * view.peerRequests;
            auto& zone = zones[view.zone];
            auto capacity = usableSlots(view);
            auto penalty = slownessPenalty(view);
            zone.rooms.push_back({ i, (view.requests - replaced) / capacity + penalty, capacity });
            zone.unseen += replaced;
        }
        return zones;
    }

    /** The rooms of all zones as seen from one zone, each with the request to be placed in it. */
    std::vector<Room> roomsSeenFrom(const AvailabilityZone& ownZone, const std::map<AvailabilityZone, ZoneLoad>& zones)
    {
        std::vector<Room> rooms;
        for (const auto& [name, zone] : zones) {
            auto isOwn = name == ownZone;
            auto level = isOwn ? 0 : levelAfter(zone.rooms, zone.unseen);
            for (auto room : zone.rooms) {
                room.occupied = std::max(room.occupied, level) + 1 / room.capacity + (isOwn ? 0 : otherZonePenalty);
                rooms.push_back(room);
            }
        }
        return rooms;
    }

} // namespace

double replacedShareAfter(Duration reportAge, Duration occupancy)
{
    return 1 - std::exp(-toSeconds(reportAge) / std::max(toSeconds(occupancy), 1e-6));
}

std::optional<size_t> chooseByFreeCapacity(std::span<const PlacementView> views, const AvailabilityZone& ownZone, const std::optional<UnseenLoad>& unseen)
{
    if (!unseen)
        return chooseLeastOccupied(views, ownZone);
    auto zones = loadOfZones(views, unseen->replacedShare);
    auto rooms = roomsSeenFrom(ownZone, zones);
    if (rooms.empty())
        return std::nullopt;
    auto own = zones.find(ownZone);
    auto requests = leastDistributed + (own == zones.end() ? 0 : own->second.unseen);
    auto level = levelAfter(rooms, requests);
    auto left = unseen->draw * requests;
    for (const auto& room : rooms) {
        left -= std::max(level - room.occupied, 0.0) * room.capacity;
        if (left < 0)
            return room.index;
    }
    return std::ranges::min_element(rooms, {}, &Room::occupied)->index;
}

} // namespace chestnut

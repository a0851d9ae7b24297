#pragma once

#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/LoadBoard.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/CrashLosses.h"

namespace chestnut {

/** Whose work a message counts. */
enum class NewsScope : uint8_t {
    Daemon, /**< of the sender */
    Zone, /**< of all daemons in the sender's zone */
    Fleet, /**< of all daemons */
};

/** One message between daemons. */
struct LoadNews {
    DaemonRecord sender;
    NewsScope scope = NewsScope::Daemon;
    bool isLeaving = false;
    std::vector<ReplicaWork> work;
    std::vector<LossNews> losses;
    std::vector<ServedNews> served; /**< contents that losses were blamed on and that were answered */
    std::vector<LeavingReplica> leavingReplicas; /**< learned from the store by the sender */
    std::vector<PausedReplica> pausedReplicas; /**< that carry out an order */
    std::vector<ReplicaEntry> entries; /**< that changed lately in the store, in messages of the scope Fleet */
    bool seesStore = true; /**< the store answers the sender */
    std::vector<DaemonId> living; /**< daemons that the sender hears, in messages of the scope Fleet */
    NewsPart part;

    bool operator==(const LoadNews&) const = default;
};

/** Longest datagram, in bytes. */
constexpr size_t maximumDatagram = 8192;

/** The datagrams that carry the message, each at most maximumDatagram long. */
std::vector<std::string> encodeLoadNews(const LoadNews&);
/** Reads one datagram. Fails with ProtocolError. */
Result<LoadNews> decodeLoadNews(std::string_view);

} // namespace chestnut

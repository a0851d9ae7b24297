#pragma once

#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/LoadTracker.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/CrashTracker.h"

namespace chestnut {

/** Whose work a message counts. */
enum class LoadScope : uint8_t {
    Daemon, /**< of the sender */
    Zone, /**< of all daemons in the sender's zone */
    Fleet, /**< of all daemons */
};

/** One message between daemons. */
struct LoadMessage {
    DaemonRecord sender;
    LoadScope scope = LoadScope::Daemon;
    bool isLeaving = false;
    std::vector<ReplicaWork> work;
    std::vector<LostAttemptReport> losses;
    std::vector<SuccessReport> served; /**< contents that losses were blamed on and that were answered */
    std::vector<LeavingReplica> leavingReplicas; /**< learned from the store by the sender */
    std::vector<PausedReplica> pausedReplicas; /**< that carry out an order */
    std::vector<ReplicaEntry> entries; /**< that changed lately in the store, in messages of the scope Fleet */
    bool seesStore = true; /**< the store answers the sender */
    std::vector<DaemonId> living; /**< daemons that the sender hears, in messages of the scope Fleet */
    MessagePart part;

    bool operator==(const LoadMessage&) const = default;
};

/** Longest datagram, in bytes. */
constexpr size_t maximumDatagram = 8192;

/** The datagrams that carry the message, each at most maximumDatagram long. */
std::vector<std::string> encodeLoadMessage(const LoadMessage&);
/** Reads one datagram. Fails with ProtocolError. */
Result<LoadMessage> decodeLoadMessage(std::string_view);

} // namespace chestnut

#include "decisions/claims/ClaimKey.h"
#include "FleetSimulationState.h"

#include <algorithm>

namespace chestnut::fuzz {

namespace {

    enum CallFault : uint8_t {
        NoCallFault,
        ServerCrashes,
        PausedAfterClaim,
    };
    constexpr uint8_t callFaults = 3;

} // namespace

void FleetSimulation::call(Daemon& daemon, const Command& command)
{
    if (!daemon.isActive() || daemon.leavingSince)
        return;
    // Two accounts use the same few keys, and callers retry with them at other daemons.
    auto key = "1700000000-k" + std::to_string(command.b % 4);
    AccountId account(command.b / 4 % 2 == 0 ? "one" : "two");
    PendingCall call;
    call.call = account.value() + "/" + key;
    call.attempt = ++m_lastAttempt;
    call.expectedResponse = "response to " + call.call;
    call.fault = command.c % callFaults;
    auto id = m_variant == Variant::ResponseToOtherAccount ? digestOf(key) : claimIdOf(account, key);
    call.entry = { id, digestOf("body"), digestOf("entry" + std::to_string(call.attempt)), daemon.table.self.id };
    if (!canReachStore(daemon) && m_variant != Variant::ClaimSkipped) {
        refuse(call, ErrorKind::ClaimUnavailable);
        return;
    }
    daemon.calls.push_back(call);
    continueCall(daemon, daemon.calls.back());
    std::erase_if(daemon.calls, [](const PendingCall& entry) { return entry.isDone; });
}

void FleetSimulation::refuse(PendingCall& call, ErrorKind kind)
{
    oracle.callRefused(call.attempt, kind);
    call.isDone = true;
}

void FleetSimulation::continueCall(Daemon& daemon, PendingCall& call)
{
    if (call.isDone || !daemon.isActive())
        return;
    if (m_variant == Variant::ClaimSkipped) {
        dispatch(daemon, call);
        return;
    }
    if (!resolveClaim(daemon, call))
        return;
    if (std::exchange(call.fault, call.fault == PausedAfterClaim ? uint8_t { NoCallFault } : call.fault) == PausedAfterClaim) {
        daemon.isPaused = true;
        return;
    }
    dispatch(daemon, call);
}

/** Returns whether the claim is granted. A claim whose outcome is unknown is retried in the next tick. */
bool FleetSimulation::resolveClaim(Daemon& daemon, PendingCall& call)
{
    if (!canReachStore(daemon)) {
        refuse(call, call.writtenIndex ? ErrorKind::OutcomeUnknown : ErrorKind::ClaimUnavailable);
        return false;
    }
    while (daemon.log.next < m_store->claims.size())
        appendRecord(daemon.log, m_store->claims[daemon.log.next]);
    if (auto winning = findClaim(daemon.log, call.entry.id)) {
        if (classifyClaim(*winning, call.entry) == ClaimOutcome::Granted)
            return true;
        respondToDuplicate(daemon, call, *winning);
        return false;
    }
    // After a lost response the same record is written again, so that only one of the writes can take the log position.
    if (!call.writtenIndex || *call.writtenIndex != daemon.log.next) {
        call.record.entries = buildBatch(daemon.log, std::span(&call.entry, 1));
        call.record.nonce = digestOf("record" + std::to_string(call.attempt) + "/" + std::to_string(daemon.log.next));
    }
    call.writtenIndex = daemon.log.next;
    bool isWriteLate = std::exchange(m_store->isWriteLate, false);
    bool isResponseLost = std::exchange(m_store->losesResponse, false);
    if (isWriteLate)
        m_store->delayedClaims.emplace_back(daemon.log.next, call.record);
    else
        m_store->claims.push_back(call.record);
    if (isWriteLate || isResponseLost)
        return false;
    appendRecord(daemon.log, call.record);
    return true;
}

void FleetSimulation::respondToDuplicate(Daemon& daemon, PendingCall& call, const ClaimEntry& winning)
{
    if (classifyClaim(winning, call.entry) == ClaimOutcome::OtherContent) {
        refuse(call, ErrorKind::KeyConflict);
        return;
    }
    for (auto& peer : m_daemons) {
        bool isReached = peer.get() == &daemon || canReach(daemon, *peer);
        if (peer->table.self.id != winning.holder || !isReached)
            continue;
        if (auto recorded = peer->responses.find(call.entry.id, m_now)) {
            oracle.callCompleted(call.call, call.attempt, recorded->response.body, call.expectedResponse);
            call.isDone = true;
            return;
        }
    }
    refuse(call, ErrorKind::AlreadyRun);
}

void FleetSimulation::dispatch(Daemon& daemon, PendingCall& call)
{
    std::vector<Server*> candidates;
    for (const auto& [id, spec] : daemon.configuration.backendServers) {
        if (spec.membership == Membership::Joined || m_variant == Variant::LeavingServerUsed)
            candidates.push_back(std::ranges::find(m_servers, id, [](const auto& server) { return server->id; })->get());
    }
    if (candidates.empty()) {
        refuse(call, ErrorKind::NoBackend);
        return;
    }
    auto& server = *candidates[m_random() % candidates.size()];
    // A daemon that was paused or isolated may not have received the change yet, so the limit counts from its return.
    if (server.leavingSince && !daemon.isIsolated)
        oracle.callDispatched(server.id, std::min(m_now - *server.leavingSince, m_now - daemon.connectedSince));
    oracle.callExecuted(call.call, call.attempt);
    if (call.fault == ServerCrashes) {
        refuse(call, m_variant == Variant::FalseRefusal ? ErrorKind::ConnectFailed : ErrorKind::OutcomeUnknown);
        return;
    }
    HttpResponse response;
    response.body = call.expectedResponse;
    oracle.callCompleted(call.call, call.attempt, response.body, call.expectedResponse);
    daemon.responses.add({ call.entry.id, call.entry.content, response }, m_now);
    call.isDone = true;
}

} // namespace chestnut::fuzz

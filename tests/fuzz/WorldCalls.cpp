#include "decisions/claims/ClaimKey.h"
#include "WorldState.h"

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

void World::call(Daemon& daemon, const Command& command)
{
    if (!daemon.isActive() || daemon.leavingSince)
        return;
    // Two accounts use the same few keys, and callers repeat them at other daemons.
    auto key = "1700000000-k" + std::to_string(command.b % 4);
    AccountId account(command.b / 4 % 2 == 0 ? "one" : "two");
    PendingCall call;
    call.call = account.value() + "/" + key;
    call.attempt = ++m_attempts;
    call.own = "answer to " + call.call;
    call.fault = command.c % callFaults;
    auto id = m_variant == Variant::AnswerToOther ? digestOf(key) : claimIdOf(account, key);
    call.entry = { id, digestOf("body"), digestOf("entry" + std::to_string(call.attempt)), daemon.table.self.id };
    if (!reachesStore(daemon) && m_variant != Variant::ClaimSkipped) {
        refuse(call, ErrorKind::ClaimUnavailable);
        return;
    }
    daemon.calls.push_back(call);
    proceed(daemon, daemon.calls.back());
    std::erase_if(daemon.calls, [](const PendingCall& entry) { return entry.isDone; });
}

void World::refuse(PendingCall& call, ErrorKind kind)
{
    oracle.callRefused(call.attempt, kind);
    call.isDone = true;
}

void World::proceed(Daemon& daemon, PendingCall& call)
{
    if (call.isDone || !daemon.isActive())
        return;
    if (m_variant == Variant::ClaimSkipped) {
        dispatch(daemon, call);
        return;
    }
    if (!settleClaim(daemon, call))
        return;
    if (std::exchange(call.fault, call.fault == PausedAfterClaim ? uint8_t { NoCallFault } : call.fault) == PausedAfterClaim) {
        daemon.isPaused = true;
        return;
    }
    dispatch(daemon, call);
}

/** Whether the claim is granted; a claim that stays open is tried again with the next tick. */
bool World::settleClaim(Daemon& daemon, PendingCall& call)
{
    if (!reachesStore(daemon)) {
        refuse(call, call.writtenAt ? ErrorKind::OutcomeUnknown : ErrorKind::ClaimUnavailable);
        return false;
    }
    while (daemon.log.next < m_store->claims.size())
        appendRecord(daemon.log, m_store->claims[daemon.log.next]);
    if (auto counting = findClaim(daemon.log, call.entry.id)) {
        if (classifyClaim(*counting, call.entry) == ClaimOutcome::Granted)
            return true;
        answerDuplicate(daemon, call, *counting);
        return false;
    }
    // The same record is written again after a lost answer, so that only one of the writes can appear at its place.
    if (!call.writtenAt || *call.writtenAt != daemon.log.next) {
        call.record.entries = buildBatch(daemon.log, std::span(&call.entry, 1));
        call.record.nonce = digestOf("record" + std::to_string(call.attempt) + "/" + std::to_string(daemon.log.next));
    }
    call.writtenAt = daemon.log.next;
    bool isLate = std::exchange(m_store->isLate, false);
    bool isLost = std::exchange(m_store->losesAnswer, false);
    if (isLate)
        m_store->lateClaims.emplace_back(daemon.log.next, call.record);
    else
        m_store->claims.push_back(call.record);
    if (isLate || isLost)
        return false;
    appendRecord(daemon.log, call.record);
    return true;
}

void World::answerDuplicate(Daemon& daemon, PendingCall& call, const ClaimEntry& counting)
{
    if (classifyClaim(counting, call.entry) == ClaimOutcome::OtherContent) {
        refuse(call, ErrorKind::KeyConflict);
        return;
    }
    for (auto& peer : m_daemons) {
        bool isReached = peer.get() == &daemon || reach(daemon, *peer);
        if (peer->table.self.id != counting.holder || !isReached)
            continue;
        if (auto recorded = peer->answers.find(call.entry.id, m_now)) {
            oracle.callAnswered(call.call, call.attempt, recorded->response.body, call.own);
            call.isDone = true;
            return;
        }
    }
    refuse(call, ErrorKind::AlreadyRun);
}

void World::dispatch(Daemon& daemon, PendingCall& call)
{
    std::vector<Server*> candidates;
    for (const auto& [id, spec] : daemon.configuration.backendServers) {
        if (spec.membership == Membership::Joined || m_variant == Variant::LeavingGetsWork)
            candidates.push_back(std::ranges::find(m_servers, id, [](const auto& server) { return server->id; })->get());
    }
    if (candidates.empty()) {
        refuse(call, ErrorKind::NoBackend);
        return;
    }
    auto& server = *candidates[m_random() % candidates.size()];
    // A daemon that was paused or cut off may not have heard of the change yet; the bound runs from its return.
    if (server.leavingSince && !daemon.isCut)
        oracle.serverGotWork(server.id, std::min(m_now - *server.leavingSince, m_now - daemon.connectedSince));
    oracle.callRan(call.call, call.attempt);
    if (call.fault == ServerCrashes) {
        refuse(call, m_variant == Variant::RefusalLies ? ErrorKind::ConnectFailed : ErrorKind::OutcomeUnknown);
        return;
    }
    HttpResponse response;
    response.body = call.own;
    oracle.callAnswered(call.call, call.attempt, response.body, call.own);
    daemon.answers.add({ call.entry.id, call.entry.content, response }, m_now);
    call.isDone = true;
}

} // namespace chestnut::fuzz

#include "gateway/requests/SilenceWatch.h"

#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Period in which an obstacle is checked again. */
    constexpr Duration recheckPeriod = std::chrono::milliseconds(100);
    /** An engine may refuse to end a run because of a moment's load. */
    constexpr Duration pauseAfterRefusedStop = std::chrono::seconds(2);
    /** For an engine that did not answer and may go on with an abandoned run when it answers again. */
    constexpr Duration backgroundStopTimeout = std::chrono::seconds(2);
    /** An engine that refuses a request does so within this time; one that has not may be running it. */
    constexpr Duration refusalTime = std::chrono::milliseconds(100);

} // namespace

std::string_view nameOf(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::NotConnected:
        return "not_connected";
    case RetryObstacle::NoAttemptLeft:
        return "no_attempt_left";
    case RetryObstacle::SuspectedPart:
        return "suspected_part";
    case RetryObstacle::NoFreeReplica:
        return "no_free_replica";
    case RetryObstacle::BudgetExhausted:
        return "budget_exhausted";
    case RetryObstacle::RefusedElsewhere:
        return "refused_elsewhere";
    case RetryObstacle::StopRefused:
        return "stop_refused";
    }
    return "none";
}

SilenceWatch::SilenceWatch(RelayContext& relay, Callbacks callbacks)
    : m_relay(relay)
    , m_callbacks(std::move(callbacks))
{
}

SilenceWatch::~SilenceWatch()
{
    cancelMove();
}

void SilenceWatch::start(const ReplicaEntry& replica, std::optional<Duration> limit)
{
    stop();
    if (limit && !m_isEndingRun)
        startTimer({ { replica.id, replica.address, m_relay.request.id }, {}, *limit, m_relay.services.timers.now() }, *limit);
}

void SilenceWatch::stop()
{
    m_timer.cancel();
    if (m_isEndingRun)
        return;
    m_examination.reset();
    cancelMove();
}

std::shared_ptr<StreamMove> SilenceWatch::takeMove()
{
    m_timer.cancel();
    m_examination.reset();
    m_stopRefusedAt.reset();
    if (std::exchange(m_isEndingRun, false))
        m_relay.markInterrupted();
    return std::exchange(m_move, nullptr);
}

void SilenceWatch::cancelMove()
{
    if (auto move = std::exchange(m_move, nullptr))
        move->cancel();
}

void SilenceWatch::startTimer(const Wait& wait, Duration time)
{
    m_timer = m_relay.services.timers.once(time, [this, wait] { onTimer(wait); });
}

void SilenceWatch::onTimer(Wait wait)
{
    // When all streams are silent, the fault is not that of one engine.
    if (!wait.isExtended && m_relay.services.streams->areOthersSilent(m_relay.service, wait.run.replica, wait.since)) {
        wait.isExtended = true;
        startTimer(wait, wait.limit);
        return;
    }
    auto obstacle = findObstacle(wait.run.replica);
    if (obstacle == RetryObstacle::None && !m_relay.reserveRetry())
        obstacle = RetryObstacle::BudgetExhausted;
    if (obstacle != RetryObstacle::None) {
        waitOn(wait, obstacle);
        return;
    }
    if (!m_callbacks.findSuccessor) {
        interrupt(wait);
        return;
    }
    m_examination = std::make_shared<Examination>();
    spawnTask(m_relay.services.context.get_executor(), m_relay.services.log, "silent_stream", examine(std::move(wait), m_examination));
}

asio::awaitable<void> SilenceWatch::examine(Wait wait, ExaminationPointer examination)
{
    auto& services = m_relay.services;
    auto endOfPatience = services.timers.now() + controlCallTimeout;
    auto mayBeRunning = co_await services.replicaClient.mayBeRunning(wait.run, controlCallTimeout);
    if (examination.expired())
        co_return;
    auto isAnswering = mayBeRunning && *mayBeRunning;
    wait.isUnreachable = !mayBeRunning;
    // An engine that answers gets as much time to go on as one that does not.
    if (isAnswering && m_callbacks.hasBegun())
        co_await services.timers.sleep(std::max(endOfPatience - services.timers.now(), Duration::zero()));
    if (examination.expired())
        co_return;
    auto successor = m_callbacks.findSuccessor(wait.run.replica);
    if (!successor) {
        waitOn(std::move(wait), RetryObstacle::NoFreeReplica);
        co_return;
    }
    wait.successor = successor->address;
    // Without events another engine needs the prompt again, so that it cannot accept the request before this run has ended.
    if (m_callbacks.hasBegun())
        co_await moveStream(std::move(wait), std::move(examination), std::move(*successor), isAnswering);
    else
        co_await endRunAndInterrupt(std::move(wait), std::move(examination), isAnswering);
}

asio::awaitable<void> SilenceWatch::moveStream(Wait wait, ExaminationPointer examination, ReplicaEntry successor, bool isAnswering)
{
    auto move = m_callbacks.openAt(successor);
    m_move = move;
    co_await move->waitForResponse(refusalTime);
    if (examination.expired())
        co_return;
    if (auto failure = move->failure()) {
        m_move.reset();
        m_relay.useReservedRetry();
        m_relay.recordAttemptFailure(move->engine.id, *failure);
        waitOn(std::move(wait), RetryObstacle::RefusedElsewhere);
        co_return;
    }
    co_await endRunAndInterrupt(std::move(wait), std::move(examination), isAnswering);
}

asio::awaitable<void> SilenceWatch::endRunAndInterrupt(Wait wait, ExaminationPointer examination, bool isAnswering)
{
    m_isEndingRun = true;
    if (isAnswering) {
        auto stopped = co_await m_callbacks.stopRun(wait.run, wait.successor, controlCallTimeout);
        if (examination.expired())
            co_return;
        if (stopped && *stopped == RunStopResult::Refused) {
            m_isEndingRun = false;
            m_stopRefusedAt = m_relay.services.timers.now();
            m_relay.useReservedRetry();
            cancelMove();
            waitOn(std::move(wait), RetryObstacle::StopRefused);
            co_return;
        }
    }
    interrupt(wait);
}

void SilenceWatch::waitOn(Wait wait, RetryObstacle obstacle)
{
    m_examination.reset();
    if (obstacle != wait.logged)
        log(wait, "wait", obstacle);
    wait.isExtended = true;
    wait.logged = obstacle;
    startTimer(wait, recheckPeriod);
}

void SilenceWatch::stopInBackground(const Wait& wait) const
{
    auto ignoreResult = [](asio::awaitable<Result<RunStopResult>> call) -> asio::awaitable<void> { (void)co_await std::move(call); };
    const auto& services = m_relay.services;
    auto call = m_callbacks.stopRun(wait.run, wait.successor, backgroundStopTimeout);
    spawnTask(services.context.get_executor(), services.log, "run_stop", ignoreResult(std::move(call)));
}

void SilenceWatch::interrupt(const Wait& wait)
{
    log(wait, "interrupt", RetryObstacle::None);
    m_callbacks.onInterrupt(wait.since);
    if (wait.isUnreachable)
        stopInBackground(wait);
    m_relay.interruptAttempt();
}

RetryObstacle SilenceWatch::findObstacle(const ReplicaId& replica) const
{
    if (!m_relay.abort->isAttached())
        return RetryObstacle::NotConnected;
    if (m_stopRefusedAt && m_relay.services.timers.now() - *m_stopRefusedAt < pauseAfterRefusedStop)
        return RetryObstacle::StopRefused;
    if (!m_relay.mayRunAgain())
        return RetryObstacle::NoAttemptLeft;
    if (m_relay.hasSuspectedPart())
        return RetryObstacle::SuspectedPart;
    return m_callbacks.canContinueElsewhere(replica) ? RetryObstacle::None : RetryObstacle::NoFreeReplica;
}

void SilenceWatch::log(const Wait& wait, std::string_view action, RetryObstacle obstacle) const
{
    const auto& services = m_relay.services;
    auto silence = services.timers.now() - wait.since;
    services.log.write(EventId::AttemptSilent, { { "request", m_relay.request.id }, { "replica", wait.run.replica }, { "silent_ms", silence.count() / 1000 }, { "begun", m_callbacks.hasBegun() ? 1 : 0 }, { "action", action }, { "obstacle", nameOf(obstacle) } });
    services.metrics.count("chestnut_gateway_silent_attempts_total", { { "action", std::string(action) } });
}

} // namespace chestnut

#include "gateway/requests/StreamMove.h"

#include "kernel/tasks/BackgroundTask.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

StreamMove::StreamMove(RelayPointer relay, ReplicaEntry entry)
    : engine(std::move(entry))
    , sentAt(relay->services.timers.now())
    , m_relay(std::move(relay))
    , m_completion(m_relay->services.context, asio::steady_timer::time_point::max())
{
}

void StreamMove::start(std::string resumeAfter, uint32_t priority)
{
    const auto& services = m_relay->services;
    m_inFlightWork = services.loadTracker->begin(engine.id);
    m_relay->recordRequestTo(engine);
    ReplicaCall call { m_relay->request, engine.id, engine.address, m_relay->remaining() };
    call.abort = m_abort;
    call.priority = priority;
    call.resumeAfter = std::move(resumeAfter);
    spawnTask(services.context.get_executor(), services.log, "stream_move", open(shared_from_this(), std::move(call)));
}

asio::awaitable<void> StreamMove::open(std::shared_ptr<StreamMove> self, ReplicaCall call)
{
    constexpr bool isContinuation = true;
    auto response = co_await self->m_relay->services.replicaClient.send(std::move(call));
    self->m_response.emplace(checkDecodeResponse(std::move(response), isContinuation));
    self->m_completion.cancel();
    if (self->m_abort->isAborted())
        self->cancel();
}

void StreamMove::cancel()
{
    m_abort->abort();
    m_inFlightWork.end();
    // Destroying the body closes the connection.
    if (m_response)
        m_response.emplace(makeError(ErrorKind::BackendFailed, "the move was cancelled"));
}

asio::awaitable<void> StreamMove::waitForResponse(Duration time)
{
    auto self = shared_from_this();
    auto timeout = self->m_relay->services.timers.once(time, [self] { self->m_completion.cancel(); });
    co_await self->waitForCompletion();
}

asio::awaitable<void> StreamMove::waitForCompletion()
{
    if (m_response)
        co_return;
    boost::system::error_code ignored;
    co_await m_completion.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::optional<Error> StreamMove::failure() const
{
    if (!m_response || *m_response)
        return std::nullopt;
    return m_response->error();
}

asio::awaitable<Result<ReplicaResponse>> StreamMove::takeResponse()
{
    auto self = shared_from_this();
    self->m_relay->abort->attach([abort = self->m_abort] { abort->abort(); });
    self->m_inFlightWork.end();
    while (!self->m_response)
        co_await self->waitForCompletion();
    co_return std::move(*self->m_response);
}

Result<ReplicaResponse> checkDecodeResponse(Result<ReplicaResponse> response, bool isContinuation)
{
    if (!response)
        return response;
    auto status = std::to_string(response->body->status());
    switch (response->executionStatus) {
    case ExecutionStatus::NotExecuted:
        return makeError(ErrorKind::Overloaded, "refused by the replica with status " + status);
    case ExecutionStatus::WrongReplica:
        return makeError(ErrorKind::NoBackend, "the address belongs to another replica, or the replica does not decode");
    case ExecutionStatus::Unverified:
        return makeError(ErrorKind::BackendFailed, "the response has no valid replica seal");
    case ExecutionStatus::Executed:
        break;
    }
    if (isContinuation && !isEventStream(*response))
        return makeError(ErrorKind::BackendFailed, "the replica did not resume the stream: status " + status);
    return response;
}

bool isEventStream(const ReplicaResponse& response)
{
    auto status = response.body->status();
    auto type = response.headers.value("Content-Type");
    return status >= 200 && status < 300 && (type.empty() || boost::algorithm::istarts_with(type, "text/event-stream"));
}

} // namespace chestnut

#include "frontend/Fakes.h"

namespace chestnut {

namespace {

    constexpr Duration hangStep = std::chrono::milliseconds(50);

    class FakeStream final : public CompletionStream {
    public:
        FakeStream(TimerService& timers, FakeBackend& backend, RequestId id, uint64_t afterToken, uint64_t total, bool isChat)
            : m_timers(timers)
            , m_backend(backend)
            , m_id(std::move(id))
            , m_next(afterToken + 1)
            , m_total(total)
            , m_isChat(isChat)
        {
        }
        ~FakeStream() override { end(); }

        asio::awaitable<Result<std::optional<TokenEvent>>> next() override
        {
            if (m_next > m_total) {
                end();
                co_return std::optional<TokenEvent>();
            }
            co_await m_timers.sleep(m_backend.tokenDelay);
            while (m_backend.isHung && isAlive())
                co_await m_timers.sleep(hangStep);
            if (m_backend.crashesAfterTokens && m_sent >= *m_backend.crashesAfterTokens)
                m_backend.isDown = true;
            if (!isAlive() || (m_sent > 0 && std::exchange(m_backend.dropsNextConnection, false)))
                co_return makeError(ErrorKind::BackendFailed, "the connection broke");
            ++m_sent;
            CompletionChunk chunk { m_id.value(), fakeToken(m_next), m_next == m_total ? "stop" : "" };
            TokenEvent token { m_next, formatCompletionChunk(chunk, ModelId("m1"), m_isChat), m_next == m_total };
            ++m_next;
            co_return std::optional<TokenEvent>(std::move(token));
        }

    private:
        void end()
        {
            auto reader = m_backend.running.find(m_id);
            if (!std::exchange(m_hasEnded, true) && reader != m_backend.running.end())
                m_backend.running.erase(reader);
        }

        bool isAlive() const { return !m_backend.isDown && m_backend.running.contains(m_id); }

        TimerService& m_timers;
        FakeBackend& m_backend;
        RequestId m_id;
        uint64_t m_next;
        uint64_t m_total;
        uint64_t m_sent = 0;
        bool m_isChat;
        bool m_hasEnded = false;
    };

} // namespace

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> FakeEngines::complete(Endpoint endpoint, CompletionCall call)
{
    auto& backend = at(endpoint.port);
    if (backend.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "connection refused");
    auto body = parseCompletionBody(call.body);
    backend.bodies.push_back(call.body);
    backend.priorities.push_back(call.priority);
    backend.running.insert(call.request);
    m_totals[call.request] = body->maximumTokens;
    co_await m_timers.sleep(backend.firstDelay);
    while (backend.isHung && !backend.isDown && backend.running.contains(call.request))
        co_await m_timers.sleep(hangStep);
    if (!backend.crashesOn.empty() && body->prompt.find(backend.crashesOn) != std::string::npos)
        backend.isDown = true;
    if (backend.isDown || !backend.running.contains(call.request))
        co_return makeError(ErrorKind::BackendFailed, "the connection broke");
    if (std::exchange(backend.misroutesNext, false))
        co_return makeError(ErrorKind::ProtocolError, "a response to another request");
    co_return std::make_unique<FakeStream>(m_timers, backend, call.request, body->resumeAfter, body->maximumTokens, call.target == "/v1/chat/completions");
}

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> FakeEngines::resume(Endpoint endpoint, RequestId id, uint64_t afterToken)
{
    auto& backend = at(endpoint.port);
    if (backend.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "connection refused");
    if (backend.refusesResume)
        co_return makeError(ErrorKind::Overloaded, "the engine is full");
    auto total = m_totals.find(id);
    if (total == m_totals.end())
        co_return makeError(ErrorKind::NotFound, "no such stream");
    backend.running.insert(id);
    co_return std::make_unique<FakeStream>(m_timers, backend, id, afterToken, total->second, false);
}

asio::awaitable<Result<void>> FakeEngines::cancel(Endpoint endpoint, RequestId id)
{
    auto& backend = at(endpoint.port);
    backend.cancelled.push_back(id);
    m_totals.erase(id);
    if (backend.running.erase(id) == 0)
        co_return makeError(ErrorKind::NotFound, "not running");
    co_return Result<void>();
}

asio::awaitable<Result<EngineLoad>> FakeEngines::load(Endpoint endpoint)
{
    const auto& backend = at(endpoint.port);
    if (backend.isDown || backend.isHung)
        co_return makeError(backend.isDown ? ErrorKind::ConnectFailed : ErrorKind::DeadlineExceeded, "no report");
    EngineLoad load;
    load.running = static_cast<uint32_t>(backend.running.size());
    co_return load;
}

size_t FakeEngines::calls() const
{
    size_t count = 0;
    for (const auto& [port, backend] : m_backends)
        count += backend.bodies.size();
    return count;
}

asio::awaitable<Result<HttpResponse>> FakeServers::call(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    auto& backend = at(endpoint.port);
    if (backend.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "connection refused");
    backend.bodies.push_back(request.body);
    if (backend.isHung) {
        co_await m_timers.sleep(timeout);
        co_return makeError(ErrorKind::DeadlineExceeded, "no response");
    }
    co_await m_timers.sleep(backend.firstDelay);
    if (!backend.crashesOn.empty() && request.body.find(backend.crashesOn) != std::string::npos)
        backend.isDown = true;
    if (backend.isDown)
        co_return makeError(ErrorKind::BackendFailed, "the connection broke");
    ++backend.executions;
    if (std::exchange(backend.losesResponse, false))
        co_return makeError(ErrorKind::BackendFailed, "the connection broke");
    if (std::exchange(backend.misroutesNext, false))
        co_return makeError(ErrorKind::ProtocolError, "a response to another request");
    co_return HttpResponse { 200, {}, "answer to " + request.body };
}

asio::awaitable<Result<BackendServerLoad>> FakeServers::load(Endpoint endpoint)
{
    const auto& backend = at(endpoint.port);
    if (backend.isDown || backend.isHung)
        co_return makeError(ErrorKind::ConnectFailed, "no report");
    co_return BackendServerLoad {};
}

uint32_t FakeServers::executions() const
{
    uint32_t count = 0;
    for (const auto& [port, backend] : m_backends)
        count += backend.executions;
    return count;
}

asio::awaitable<Result<void>> FakeWriter::send(HttpResponse response)
{
    status = response.status;
    headers = response.headers;
    body = response.body;
    isFinished = true;
    co_return isDisconnected ? Result<void>(makeError(ErrorKind::CallerGone, "the caller disconnected")) : Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::begin(int newStatus, HttpHeaders newHeaders)
{
    status = newStatus;
    headers = std::move(newHeaders);
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::write(std::string chunk)
{
    if (writeDelay > Duration::zero())
        co_await m_timers.sleep(writeDelay);
    if (isDisconnected)
        co_return makeError(ErrorKind::CallerGone, "the caller disconnected");
    body += chunk;
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::finish()
{
    isFinished = true;
    co_return Result<void>();
}

} // namespace chestnut

#include "soak/StandinWriter.h"

#include "platform/Names.h"

namespace chestnut::soak {

namespace {

    constexpr std::string_view leavingHeader = "Server-Leaving";
    constexpr std::string_view limitHeader = "Server-Limit";

} // namespace

asio::awaitable<void> StandinWriter::waitForSilence()
{
    while (isSilent())
        co_await m_timers.sleep(m_behavior.silence.end - m_timers.now());
}

void StandinWriter::addNotices(HttpHeaders& headers) const
{
    if (m_behavior.announcesDeparture)
        headers.set(leavingHeader, "1");
    if (m_behavior.requestsPerSecond == 0) {
        m_limits.restart(m_replica);
        return;
    }
    headers.set(limitHeader, std::to_string(m_behavior.requestsPerSecond));
    m_limits.recordNamed(RequestId(std::string(headers.value(platform::names::requestId))), m_replica, m_behavior.requestsPerSecond);
}

asio::awaitable<Result<void>> StandinWriter::send(HttpResponse response)
{
    if (isSilent() && m_behavior.silence.startsInsideBytes && !response.body.empty()) {
        addNotices(response.headers);
        if (auto begun = co_await m_writer.begin(response.status, std::move(response.headers)); !begun)
            co_return begun;
        if (auto written = co_await write(std::move(response.body)); !written)
            co_return written;
        co_return co_await m_writer.finish();
    }
    co_await waitForSilence();
    addNotices(response.headers);
    co_return co_await m_writer.send(std::move(response));
}

asio::awaitable<Result<void>> StandinWriter::begin(int status, HttpHeaders headers)
{
    co_await waitForSilence();
    addNotices(headers);
    co_return co_await m_writer.begin(status, std::move(headers));
}

asio::awaitable<Result<void>> StandinWriter::write(std::string chunk)
{
    if (isSilent() && m_behavior.silence.startsInsideBytes) {
        auto half = chunk.size() / 2;
        if (auto written = co_await m_writer.write(chunk.substr(0, half)); !written)
            co_return written;
        chunk.erase(0, half);
    }
    co_await waitForSilence();
    co_return co_await m_writer.write(std::move(chunk));
}

asio::awaitable<Result<void>> StandinWriter::finish()
{
    co_await waitForSilence();
    co_return co_await m_writer.finish();
}

} // namespace chestnut::soak

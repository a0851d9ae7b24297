#include "soak/StandinWriter.h"

namespace chestnut::soak {

asio::awaitable<void> StandinWriter::waitForSilence()
{
    while (isSilent())
        co_await m_timers.sleep(m_silence.end - m_timers.now());
}

asio::awaitable<Result<void>> StandinWriter::send(HttpResponse response)
{
    if (isSilent() && m_silence.startsInsideBytes && !response.body.empty()) {
        if (auto begun = co_await m_writer.begin(response.status, std::move(response.headers)); !begun)
            co_return begun;
        if (auto written = co_await write(std::move(response.body)); !written)
            co_return written;
        co_return co_await m_writer.finish();
    }
    co_await waitForSilence();
    co_return co_await m_writer.send(std::move(response));
}

asio::awaitable<Result<void>> StandinWriter::begin(int status, HttpHeaders headers)
{
    co_await waitForSilence();
    co_return co_await m_writer.begin(status, std::move(headers));
}

asio::awaitable<Result<void>> StandinWriter::write(std::string chunk)
{
    if (isSilent() && m_silence.startsInsideBytes) {
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

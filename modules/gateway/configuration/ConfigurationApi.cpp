#include "gateway/configuration/ConfigurationApi.h"

#include <charconv>

namespace chestnut {

namespace {

    /** Transfers at the same time. More of them would share the link, and each would take longer than its receiver waits. */
    constexpr size_t maximumTransfers = 4;

    class TransferCounter {
    public:
        explicit TransferCounter(size_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        TransferCounter(const TransferCounter&) = delete;
        TransferCounter& operator=(const TransferCounter&) = delete;
        ~TransferCounter() { --m_count; }

    private:
        size_t& m_count;
    };

    /** Zero for anything but a number. */
    uint64_t numberOf(const std::string& text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

ConfigurationApi::ConfigurationApi(const RoutingSource& routing)
    : m_routing(routing)
{
}

asio::awaitable<void> ConfigurationApi::handle(HttpRequest request, HttpResponseWriter& writer)
{
    if (request.path() != configurationPath || request.method != "GET") {
        (void)co_await writer.send({ 404, {}, {} });
        co_return;
    }
    auto value = m_routing.value();
    if (!value || m_routing.version() <= numberOf(request.queryValue("above"))) {
        (void)co_await writer.send({ 204, {}, {} });
        co_return;
    }
    if (m_transfers >= maximumTransfers) {
        (void)co_await writer.send({ 503, {}, {} });
        co_return;
    }
    TransferCounter counted(m_transfers);
    (void)co_await writer.send({ 200, { { "Content-Type", "application/octet-stream" } }, *value });
}

} // namespace chestnut

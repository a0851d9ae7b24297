#include "common/StandinServer.h"
#include "common/StandinText.h"
#include "kernel/timers/AsioTimerService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "loopback address and port to listen on");
ABSL_FLAG(uint32_t, ports, 1, "number of consecutive ports to listen on; each is the address of one backend server");
ABSL_FLAG(int64_t, service_ms, 10, "service time of a call, in milliseconds");
ABSL_FLAG(uint32_t, slots, 32, "number of calls that run at once");
ABSL_FLAG(double, slow_factor, 1, "fault: multiplies the service time of a call");
ABSL_FLAG(uint32_t, crash_before_execution, 0, "fault: abort on the n-th call before it is executed; 0: never");
ABSL_FLAG(uint32_t, crash_after_execution, 0, "fault: abort on the n-th call after it was executed; 0: never");
ABSL_FLAG(uint32_t, lost_answers, 0, "fault: number of calls after whose execution the connection is closed without a response");
ABSL_FLAG(int64_t, listen_delay_ms, 0, "fault: delay of the start before the process listens, in milliseconds");
ABSL_FLAG(bool, print_executions, false, "print the idempotency key of each execution");

using namespace chestnut;
using nlohmann::json;

namespace {

struct ServiceFaults {
    double slowFactor = 1;
    uint32_t crashBeforeExecution = 0; /**< number of calls until the abort; 0: never */
    uint32_t crashAfterExecution = 0;
    uint32_t lostAnswers = 0;
    int64_t serviceMs = 10;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ServiceFaults, slowFactor, crashBeforeExecution, crashAfterExecution, lostAnswers, serviceMs)
};

/** Plain HTTP service that counts the executions of each idempotency key. */
class ServiceDouble {
public:
    ServiceDouble(asio::io_context& context, ServiceFaults faults, uint32_t slots, bool printsExecutions)
        : m_timers(context)
        , m_faults(faults)
        , m_slots(slots)
        , m_printsExecutions(printsExecutions)
    {
    }

    asio::awaitable<void> handle(HttpRequest request, HttpResponseWriter& writer)
    {
        if (auto response = controlResponse(request)) {
            co_await writer.send({ 200, { { "Content-Type", "application/json" } }, response->dump() });
            co_return;
        }
        if (countDown(m_faults.crashBeforeExecution))
            std::abort();
        co_await acquireSlot();
        co_await m_timers.sleep(fromSeconds(static_cast<double>(m_faults.serviceMs) / 1000 * m_faults.slowFactor));
        releaseSlot();
        countExecution(request);
        if (countDown(m_faults.crashAfterExecution))
            std::abort();
        if (m_faults.lostAnswers > 0) {
            --m_faults.lostAnswers;
            writer.abort();
            co_return;
        }
        HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", std::string(request.headers.value("X-Request-Id")) } };
        co_await writer.send({ 200, headers, standinServiceResponse(request.target, request.body) });
    }

private:
    static bool countDown(uint32_t& countdown) { return countdown > 0 && --countdown == 0; }

    std::optional<json> controlResponse(const HttpRequest& request)
    {
        auto path = request.path();
        if (path == "/load")
            return json { { "running", m_running }, { "slots", m_slots }, { "age_ms", 0 } };
        if (path == "/control/executions")
            return json { { "by_key", m_executions }, { "without_key", m_executionsWithoutKey } };
        if (path != "/control/faults")
            return std::nullopt;
        json merged = m_faults;
        auto update = json::parse(request.body, nullptr, false);
        if (update.is_object())
            merged.update(update);
        m_faults = merged.get<ServiceFaults>();
        return merged;
    }

    asio::awaitable<void> acquireSlot()
    {
        constexpr Duration pollPeriod = std::chrono::milliseconds(2);
        while (m_running >= m_slots)
            co_await m_timers.sleep(pollPeriod);
        ++m_running;
    }

    void releaseSlot() { --m_running; }

    void countExecution(const HttpRequest& request)
    {
        auto key = request.headers.value("Idempotency-Key");
        if (key.empty())
            ++m_executionsWithoutKey;
        else
            ++m_executions[std::string(key)];
        // The output survives a crash of the process; tests count in it the executions of all its runs.
        if (m_printsExecutions && !key.empty()) {
            std::printf("executed %.*s\n", static_cast<int>(key.size()), key.data());
            std::fflush(stdout);
        }
    }

    AsioTimerService m_timers;
    ServiceFaults m_faults;
    uint32_t m_slots;
    bool m_printsExecutions;
    uint32_t m_running = 0;
    std::map<std::string, uint64_t> m_executions;
    uint64_t m_executionsWithoutKey = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Test double of a plain service's backend server.");
    absl::ParseCommandLine(argc, argv);
    ServiceFaults faults;
    faults.slowFactor = absl::GetFlag(FLAGS_slow_factor);
    faults.crashBeforeExecution = absl::GetFlag(FLAGS_crash_before_execution);
    faults.crashAfterExecution = absl::GetFlag(FLAGS_crash_after_execution);
    faults.lostAnswers = absl::GetFlag(FLAGS_lost_answers);
    faults.serviceMs = absl::GetFlag(FLAGS_service_ms);
    std::this_thread::sleep_for(std::chrono::milliseconds(absl::GetFlag(FLAGS_listen_delay_ms)));
    asio::io_context context;
    ServiceDouble service(context, faults, absl::GetFlag(FLAGS_slots), absl::GetFlag(FLAGS_print_executions));
    return serveStandin(
        context, absl::GetFlag(FLAGS_listen), [&service](HttpRequest request, HttpResponseWriter& writer) { return service.handle(std::move(request), writer); },
        static_cast<uint16_t>(absl::GetFlag(FLAGS_ports)));
}

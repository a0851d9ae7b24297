#include "LoadCaller.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, entrypoints, "", "comma-separated loopback addresses of daemons for the first discovery");
ABSL_FLAG(std::string, workload, "tanner", "tanner or saranrat");
ABSL_FLAG(double, rate, 10, "requests per second");
ABSL_FLAG(double, duration_s, 10, "duration of the run in seconds, at most 3600");
ABSL_FLAG(uint64_t, seed, 1, "seed of the workload");
ABSL_FLAG(uint32_t, accounts, 20, "number of client accounts");
ABSL_FLAG(uint64_t, max_requests, 100000, "maximum number of requests");
ABSL_FLAG(uint32_t, max_in_flight, 2000, "maximum number of requests in flight; further ones are counted as not sent");
ABSL_FLAG(double, drain_s, 120, "seconds to wait for responses after the last request");
ABSL_FLAG(double, spike_factor, 1, "rate multiple in the middle fifth of the run");
ABSL_FLAG(double, mix_shift, 0, "relative growth of the share of long jobs in the second half of the run, 0 to 1");
ABSL_FLAG(double, straggler_share, 0.01, "share of long jobs that produce ten times the output");
ABSL_FLAG(std::string, zone, "", "availability zone of the caller");
ABSL_FLAG(std::string, model, "m1", "model of the completion requests");
ABSL_FLAG(std::string, key_kind, "shared", "idempotency keys: shared, daemon or mixed");
ABSL_FLAG(uint32_t, attempts, 5, "maximum number of connections for one request");
ABSL_FLAG(bool, json, false, "print the summary as JSON");

using namespace chestnut;

namespace {

constexpr double maximumRunSeconds = 3600;

/** Sends the workload's requests at their times and waits for all responses. */
class LoadRun {
public:
    LoadRun(asio::io_context& context, AsioTimerService& timers, LoadCaller& caller, Workload& workload, LoadSummary& summary)
        : m_context(context)
        , m_timers(timers)
        , m_caller(caller)
        , m_workload(workload)
        , m_summary(summary)
    {
    }

    asio::awaitable<void> send(uint32_t maximumInFlight)
    {
        auto start = m_timers.now();
        while (auto request = m_workload.next()) {
            if (auto wait = request->at - (m_timers.now() - start); wait > Duration::zero())
                co_await m_timers.sleep(wait);
            if (m_isStopping)
                break;
            if (m_inFlight >= maximumInFlight) {
                m_summary.addNotSent();
                continue;
            }
            ++m_inFlight;
            asio::co_spawn(m_context, runOne(std::move(*request)), asio::detached);
        }
        m_isSent = true;
        stopWhenDone();
    }

    /** Stops sending; requests in flight continue. */
    void stopSending() { m_isStopping = true; }

    uint32_t inFlight() const { return m_inFlight; }

private:
    asio::awaitable<void> runOne(PlannedRequest request)
    {
        m_summary.add(co_await m_caller.run(std::move(request)));
        --m_inFlight;
        stopWhenDone();
    }

    void stopWhenDone()
    {
        if (m_isSent && m_inFlight == 0)
            m_context.stop();
    }

    asio::io_context& m_context;
    AsioTimerService& m_timers;
    LoadCaller& m_caller;
    Workload& m_workload;
    LoadSummary& m_summary;
    uint32_t m_inFlight = 0;
    bool m_isSent = false;
    bool m_isStopping = false;
};

std::vector<Endpoint> seedsFromFlags()
{
    std::vector<Endpoint> seeds;
    for (const auto& text : absl::StrSplit(absl::GetFlag(FLAGS_entrypoints), ',', absl::SkipEmpty())) {
        auto endpoint = parseEndpoint(std::string_view(text.data(), text.size()));
        if (!endpoint || !isLoopback(*endpoint))
            return {};
        seeds.push_back(*endpoint);
    }
    return seeds;
}

WorkloadSettings workloadFromFlags()
{
    WorkloadSettings settings;
    settings.name = absl::GetFlag(FLAGS_workload);
    settings.requestsPerSecond = std::max(0.001, absl::GetFlag(FLAGS_rate));
    settings.duration = fromSeconds(std::min(maximumRunSeconds, absl::GetFlag(FLAGS_duration_s)));
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.accounts = absl::GetFlag(FLAGS_accounts);
    settings.maximumRequests = absl::GetFlag(FLAGS_max_requests);
    settings.spikeFactor = absl::GetFlag(FLAGS_spike_factor);
    settings.mixShift = absl::GetFlag(FLAGS_mix_shift);
    settings.stragglerShare = absl::GetFlag(FLAGS_straggler_share);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Load generator. SIGINT stops sending early. Exit code 0: no wrong response, 1: wrong responses or duplicate tokens, 2: invalid flags.");
    absl::ParseCommandLine(argc, argv);
    auto seeds = seedsFromFlags();
    auto settings = workloadFromFlags();
    if (seeds.empty() || (settings.name != "tanner" && settings.name != "saranrat")) {
        std::fprintf(stderr, "--entrypoints must be loopback addresses and --workload tanner or saranrat\n");
        return 2;
    }
    asio::io_context context;
    AsioTimerService timers(context);
    HttpClient client(context, timers);
    EntryPointCache entryPoints(client, timers, seeds, absl::GetFlag(FLAGS_zone));
    CallerSettings callerSettings { absl::GetFlag(FLAGS_model), absl::GetFlag(FLAGS_key_kind), absl::GetFlag(FLAGS_attempts) };
    // Keys must differ between runs with the same seed, because claims are kept for a day.
    auto nonce = static_cast<uint64_t>(timers.now().time_since_epoch().count());
    LoadCaller caller(client, timers, entryPoints, callerSettings, nonce);
    Workload workload(settings);
    LoadSummary summary;
    LoadRun run(context, timers, caller, workload, summary);
    asio::signal_set signals(context, SIGINT);
    signals.async_wait([&run](const boost::system::error_code& error, int) {
        if (!error)
            run.stopSending();
    });
    asio::co_spawn(context, run.send(absl::GetFlag(FLAGS_max_in_flight)), asio::detached);
    context.run_for(fromSeconds(toSeconds(settings.duration) + absl::GetFlag(FLAGS_drain_s)));
    for (uint32_t i = 0; i < run.inFlight(); ++i) {
        LoadResult unfinished;
        unfinished.detail = "no response within the drain time";
        summary.add(unfinished);
    }
    std::printf("%s\n", absl::GetFlag(FLAGS_json) ? summary.toJson().dump(2).c_str() : summary.toText().c_str());
    return summary.hasErrors() ? 1 : 0;
}

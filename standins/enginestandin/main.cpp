#include "EngineApi.h"

#include "common/StandinServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "loopback address and port to listen on");
ABSL_FLAG(std::string, model, "m1", "model that the engine runs at start");
ABSL_FLAG(std::string, version, "1", "version of the model");
ABSL_FLAG(double, prefill_tokens_per_second, 8000, "prefill rate of the engine");
ABSL_FLAG(double, decode_tokens_per_second, 25, "decode rate of one sequence");
ABSL_FLAG(uint32_t, slots, 32, "number of sequences that run at once");
ABSL_FLAG(uint32_t, blocks, 1024, "memory in blocks of 2,048 tokens");
ABSL_FLAG(uint32_t, cached_blocks, 256, "maximum number of cached prefix blocks");
ABSL_FLAG(bool, checks_fencing, true, "reject orders with an old fencing number");
ABSL_FLAG(int64_t, change_ms, 8000, "duration of a change of model, version or role, in milliseconds");
ABSL_FLAG(int64_t, load_lag_ms, 0, "fault: age of the state in load reports, in milliseconds");
ABSL_FLAG(std::string, crash_prompt, "", "fault: a prompt that contains this text aborts the process");
ABSL_FLAG(bool, crash_during_change, false, "fault: abort in the middle of a change");
ABSL_FLAG(bool, ignores_fencing, false, "fault: accept orders with an old fencing number");
ABSL_FLAG(uint32_t, cache_gap_every, 0, "fault: drop every n-th cache event; 0: none");
ABSL_FLAG(int64_t, late_answer_ms, 0, "fault: delay before the response header, in milliseconds");
ABSL_FLAG(uint32_t, crossed_answers, 0, "fault: number of pairs of responses to swap");
ABSL_FLAG(double, slow_factor, 1, "fault: multiplies all service times");

using namespace chestnut;

namespace {

EngineSettings settingsFromFlags()
{
    EngineSettings settings;
    settings.model = absl::GetFlag(FLAGS_model);
    settings.version = absl::GetFlag(FLAGS_version);
    settings.prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_tokens_per_second);
    settings.decodeTokensPerSecond = absl::GetFlag(FLAGS_decode_tokens_per_second);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.blocks = absl::GetFlag(FLAGS_blocks);
    settings.cachedBlocks = absl::GetFlag(FLAGS_cached_blocks);
    settings.checksFencing = absl::GetFlag(FLAGS_checks_fencing);
    settings.changeTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_change_ms));
    return settings;
}

EngineFaults faultsFromFlags()
{
    EngineFaults faults;
    faults.loadLagMs = absl::GetFlag(FLAGS_load_lag_ms);
    faults.crashPrompt = absl::GetFlag(FLAGS_crash_prompt);
    faults.crashDuringChange = absl::GetFlag(FLAGS_crash_during_change);
    faults.ignoresFencing = absl::GetFlag(FLAGS_ignores_fencing);
    faults.cacheGapEvery = absl::GetFlag(FLAGS_cache_gap_every);
    faults.lateAnswerMs = absl::GetFlag(FLAGS_late_answer_ms);
    faults.crossedAnswers = absl::GetFlag(FLAGS_crossed_answers);
    faults.slowFactor = absl::GetFlag(FLAGS_slow_factor);
    return faults;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Test double of a language-model engine.");
    absl::ParseCommandLine(argc, argv);
    asio::io_context context;
    auto simulator = std::make_shared<EngineSimulator>(context, settingsFromFlags(), faultsFromFlags());
    simulator->start();
    EngineApi api(context, simulator);
    return serveStandin(context, absl::GetFlag(FLAGS_listen), [&api](HttpRequest request, HttpResponseWriter& writer) { return api.handle(std::move(request), writer); });
}

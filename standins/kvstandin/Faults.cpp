#include "Faults.h"

namespace chestnut::standin {

void applyFaults(Faults& faults, const nlohmann::json& change)
{
    using std::chrono::milliseconds;
    auto inMilliseconds = [](Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); };
    faults.isOutage = change.value("outage", faults.isOutage);
    faults.latency = milliseconds(change.value("latency_ms", inMilliseconds(faults.latency)));
    faults.lostAnswers = change.value("lose_next", faults.lostAnswers);
    faults.lostAnswerShare = change.value("lose_share", faults.lostAnswerShare);
    faults.vmListLag = milliseconds(change.value("vm_list_lag_ms", inMilliseconds(faults.vmListLag)));
}

bool takeLostAnswer(Faults& faults, std::mt19937_64& rng)
{
    if (faults.lostAnswers > 0) {
        --faults.lostAnswers;
        return true;
    }
    return faults.lostAnswerShare > 0 && std::uniform_real_distribution<>(0, 1)(rng) < faults.lostAnswerShare;
}

} // namespace chestnut::standin

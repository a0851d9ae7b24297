#include "Faults.h"

namespace chestnut::standin {

void applyFaults(Faults& faults, const nlohmann::json& change)
{
    using std::chrono::milliseconds;
    auto inMilliseconds = [](Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); };
    faults.isOutage = change.value("outage", faults.isOutage);
    faults.latency = milliseconds(change.value("latency_ms", inMilliseconds(faults.latency)));
    faults.lostResponses = change.value("lose_next", faults.lostResponses);
    faults.lostResponseShare = change.value("lose_share", faults.lostResponseShare);
    faults.vmListLag = milliseconds(change.value("vm_list_lag_ms", inMilliseconds(faults.vmListLag)));
}

bool takeLostResponse(Faults& faults, std::mt19937_64& rng)
{
    if (faults.lostResponses > 0) {
        --faults.lostResponses;
        return true;
    }
    return faults.lostResponseShare > 0 && std::uniform_real_distribution<>(0, 1)(rng) < faults.lostResponseShare;
}

} // namespace chestnut::standin

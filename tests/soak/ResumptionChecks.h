#pragma once

#include "soak/Ledger.h"

namespace chestnut::soak {

/** Checks that streams which clients resume go on (LOST): of 12 or more tries while two decode engines of the stream's version
    serve, a share of at least half of the share of new streams that begin. Tries without any response, and at daemons that have begun no new
    stream since their start, count neither way. */
class ResumptionChecks {
public:
    void recordNew(bool hasBegun) { m_new.add(hasBegun); }
    /** Records a try to resume a stream. `hasEngines`: two decode engines of its version served at its start and at its end. */
    void recordResumed(const std::string& id, bool hasGoneOn, bool hasEngines);

    void check(Ledger&) const;
    /** The counts, and the ids of the tries that failed, for the report. */
    std::string summary() const;

private:
    struct Share {
        void add(bool isSuccess)
        {
            ++total;
            successes += isSuccess ? 1 : 0;
        }
        double value() const { return total == 0 ? 0 : static_cast<double>(successes) / static_cast<double>(total); }
        std::string text() const { return std::to_string(successes) + " of " + std::to_string(total); }

        uint64_t total = 0;
        uint64_t successes = 0;
    };

    Share m_new;
    Share m_resumed;
    Share m_withoutEngines;
    std::string m_lost; /**< ids of the tries that did not go on though there were engines */
};

} // namespace chestnut::soak

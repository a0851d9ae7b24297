#include "soak/ResumptionChecks.h"

namespace chestnut::soak {

namespace {

    constexpr uint64_t minimumResumptions = 12;
    /** Least share of resumed streams that go on, relative to that of new streams that begin. */
    constexpr double minimumRelativeShare = 0.5;

} // namespace

void ResumptionChecks::recordResumed(const std::string& id, bool hasGoneOn, bool hasEngines)
{
    (hasEngines ? m_resumed : m_withoutEngines).add(hasGoneOn);
    if (hasEngines && !hasGoneOn)
        m_lost += " " + id;
}

void ResumptionChecks::check(Ledger& ledger) const
{
    if (m_resumed.total >= minimumResumptions && m_resumed.value() < minimumRelativeShare * m_new.value())
        ledger.reportViolation("LOST", summary());
}

std::string ResumptionChecks::summary() const
{
    return m_resumed.text() + " resumed streams went on while two decode engines of their version served (" + m_withoutEngines.text() + " otherwise), and " + m_new.text() + " new streams began" + (m_lost.empty() ? "" : "; not resumed:" + m_lost);
}

} // namespace chestnut::soak

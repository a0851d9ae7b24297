#include "review/standins/Record.h"

#include <iomanip>

namespace chestnut::review {

Record::Record(const std::string& path, TimerService& timers)
    : m_timers(timers)
    , m_startedAt(timers.now())
    , m_file(path)
{
}

void Record::write(const std::string& line)
{
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << toSeconds(m_timers.now() - m_startedAt) << " s  " << line << "\n";
}

} // namespace chestnut::review

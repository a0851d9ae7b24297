#include "Record.h"

#include "Http.h"

#include <cstdlib>
#include <iomanip>

namespace review {

Record::Record(const std::string& path)
    : m_file(path)
    , m_startedAt(now())
{
}

void Record::write(const std::string& line)
{
    std::scoped_lock lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << now() - m_startedAt << "  " << line << std::endl;
}

bool hasTrouble()
{
    const auto* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace review

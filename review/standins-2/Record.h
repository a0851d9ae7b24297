#pragma once

#include "Http.h"

#include <fstream>
#include <mutex>

namespace review {

/** The file record.txt of a case: one line for each thing that was sent, answered or run, with the milliseconds since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_startedAt(nowMilliseconds())
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        m_file << nowMilliseconds() - m_startedAt << " ms " << line << "\n"
               << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    int64_t m_startedAt;
};

} // namespace review

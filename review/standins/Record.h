#pragma once

#include "kernel/timers/TimerService.h"

#include <fstream>
#include <string>

namespace chestnut::review {

/** Writes the record of a run: a line for each thing that is sent, answered or run, with the seconds since the start. */
class Record {
public:
    Record(const std::string& path, TimerService&);

    void write(const std::string& line);
    void close() { m_file.close(); }

private:
    TimerService& m_timers;
    TimePoint m_startedAt;
    std::ofstream m_file;
};

} // namespace chestnut::review

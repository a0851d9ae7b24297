#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes record.txt: one line for each thing that was sent, answered or run, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    double m_startedAt;
};

/** Results of a case, as its exit status. */
enum class CaseResult {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** Whether the case runs with its disruption: TROUBLE is not 0. */
bool hasTrouble();

} // namespace review

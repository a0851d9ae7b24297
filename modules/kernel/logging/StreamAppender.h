#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace chestnut {

/** Writes log lines to a pipe, file or terminal and never waits for its reader: a line that does not fit now is dropped and
    counted. */
class StreamAppender final : public log4cplus::Appender {
public:
    /** Longer lines are cut, in bytes. A writable pipe takes this much without blocking (PIPE_BUF of Linux). */
    static constexpr size_t longestLine = 4096;

    explicit StreamAppender(int descriptor);
    ~StreamAppender() override;

    void close() override { closed = true; }

    /** Whether a line can be written now. */
    bool isWritable() const;

    bool hasDroppedLines() const { return m_droppedLines > 0; }

    /** The lines dropped since the last call. */
    uint64_t takeDroppedLines();

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    int m_descriptor;
    uint64_t m_droppedLines = 0;
};

} // namespace chestnut

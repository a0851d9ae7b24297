#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace chestnut {

/** Writes log lines to a pipe, file or terminal without blocking: a line that the descriptor cannot accept immediately is
    dropped and counted. */
class StreamAppender final : public log4cplus::Appender {
public:
    /** In bytes; longer lines are truncated. A writable pipe accepts this many without blocking (PIPE_BUF on Linux). */
    static constexpr size_t maximumLineBytes = 4096;

    explicit StreamAppender(int descriptor);
    ~StreamAppender() override;

    void close() override { closed = true; }

    /** Whether a line can be written without blocking. */
    bool isWritable() const;

    bool hasDroppedLines() const { return m_droppedLines > 0; }

    /** Returns the number of lines dropped since the last call and resets it. */
    uint64_t takeDroppedLines();

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    int m_descriptor;
    uint64_t m_droppedLines = 0;
};

} // namespace chestnut

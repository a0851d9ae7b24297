#include "kernel/logging/StreamAppender.h"

#include <poll.h>
#include <unistd.h>
#include <utility>

namespace chestnut {

StreamAppender::StreamAppender(int descriptor)
    : m_descriptor(descriptor)
{
}

StreamAppender::~StreamAppender()
{
    destructorImpl();
}

bool StreamAppender::isWritable() const
{
    pollfd target { m_descriptor, POLLOUT, 0 };
    return poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
}

uint64_t StreamAppender::takeDroppedLines()
{
    return std::exchange(m_droppedLines, 0);
}

void StreamAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    auto line = formatEvent(event);
    if (line.size() > maximumLineBytes) {
        line.resize(maximumLineBytes);
        line.back() = '\n';
    }
    if (!isWritable() || ::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        ++m_droppedLines;
}

} // namespace chestnut

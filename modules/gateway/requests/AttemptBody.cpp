#include "gateway/requests/AttemptBody.h"

namespace chestnut {

namespace {

    std::string describe(const ConnectionEnd& end)
    {
        std::string reasons;
        if (end.mayHaveStopped)
            reasons += ", this daemon has asked it to end the run";
        if (end.isRequestOver)
            reasons += ", the request is over";
        if (end.hasReplicaLeft)
            reasons += ", it has announced to leave by now";
        return reasons;
    }

} // namespace

AttemptBody::AttemptBody(std::unique_ptr<HttpBodyStream> body, std::function<ConnectionEnd()> connectionEnd)
    : m_body(std::move(body))
    , m_connectionEnd(std::move(connectionEnd))
{
}

asio::awaitable<Result<std::optional<std::string>>> AttemptBody::read()
{
    auto bytes = co_await m_body->read();
    auto isEndOfConnection = bytes && !*bytes && m_body->endsWithConnection();
    if (!isEndOfConnection)
        co_return bytes;
    auto end = m_connectionEnd();
    if (!isWholeBody(end))
        co_return makeError(ErrorKind::BackendFailed, "the replica has closed the connection" + describe(end));
    co_return bytes;
}

} // namespace chestnut

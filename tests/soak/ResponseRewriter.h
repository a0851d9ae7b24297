#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chestnut::soak {

/** How a link alters the responses of a replica. */
enum class ResponseFault : uint8_t {
    None,
    WithoutLength, /**< the body has neither a length nor chunks and ends with the connection */
    CutWithoutLength, /**< the same, but a stream ends inside an event, and another body with a reset */
    CutHeader, /**< the connection is closed in the middle of the header */
    RepeatedRefusal, /**< an earlier refusal is sent once more before the response to another request */
    CopiedRefusal, /**< the same with 503 and 421, also before the response to a request with the same id */
};

/** How the connection to the caller ends after the bytes of a rewritten response. */
enum class ConnectionEnd : uint8_t {
    None,
    Close,
    Reset,
};

/** Rewrites the responses on one connection; the first altered response is the last one. */
class ResponseRewriter {
public:
    /** Returns the bytes to send in place of the bytes that the replica has sent. */
    std::string rewrite(const std::string& bytes, ResponseFault);
    /** Returns the bytes to send when the next request arrives: an earlier refusal, once, or nothing. */
    std::string takeRefusal() { return std::exchange(m_refusal, {}); }
    /** Returns the copy of an earlier refusal to send when these bytes arrive, or nothing: the refusal of the same id if there
        is one, and before some of the other requests that of another id. */
    std::string takeCopy(const std::string& requestBytes);
    /** Whether a response is being rewritten, so that the end of the connection would look like its end. */
    bool isRewriting() const { return m_fault != ResponseFault::None; }
    ConnectionEnd end() const { return m_end; }

private:
    void keepRefusal(const std::string& bytes);
    std::string takeHeader();
    std::string takeBody();
    std::string takeChunks();

    ResponseFault m_fault = ResponseFault::None; /**< set while a response is being rewritten */
    std::string m_input;
    std::string m_refusal;
    std::map<std::string, std::string> m_refusals; /**< by the id of the request */
    int m_otherRequests = 0; /**< requests whose id was not refused, while there were refusals */
    bool m_isHeaderSent = false;
    bool m_isChunked = false;
    size_t m_bodyLeft = 0;
    int m_chunks = 0;
    ConnectionEnd m_end = ConnectionEnd::None;
};

} // namespace chestnut::soak

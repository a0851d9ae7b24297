#pragma once

#include <cstdint>
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
    /** Whether a response is being rewritten, so that the end of the connection would look like its end. */
    bool isRewriting() const { return m_fault != ResponseFault::None; }
    ConnectionEnd end() const { return m_end; }

private:
    std::string takeHeader();
    std::string takeBody();
    std::string takeChunks();

    ResponseFault m_fault = ResponseFault::None; /**< set while a response is being rewritten */
    std::string m_input;
    std::string m_refusal;
    bool m_isHeaderSent = false;
    bool m_isChunked = false;
    size_t m_bodyLeft = 0;
    int m_chunks = 0;
    ConnectionEnd m_end = ConnectionEnd::None;
};

} // namespace chestnut::soak

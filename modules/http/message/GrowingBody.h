#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

/* Included only by the source files of this module. */

namespace chestnut {

/** Body of a message that is being received. The string grows with the bytes that arrive, whereas the string_body of Beast
    reserves the announced length, so that a wrong Content-Length exhausts the memory before a byte of the body has come. */
struct GrowingBody {
    using value_type = std::string;

    static uint64_t size(const value_type& body) { return body.size(); }

    /** Meets the requirements of Beast's BodyReader. */
    class reader { // NOLINT(readability-identifier-naming): the name is Beast's
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<uint64_t>&, boost::beast::error_code& error) { error = {}; }

        template <typename ConstBufferSequence>
        size_t put(const ConstBufferSequence& buffers, boost::beast::error_code& error)
        {
            error = {};
            size_t bytes = 0;
            for (auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace chestnut

#include "control/configuration/Compression.h"

#include <algorithm>
#include <cassert>
#include <zlib.h>

namespace chestnut {

namespace {

    constexpr char deflateWithWindow32K = 0x78; // first byte of zlib's format with the default window size
    constexpr size_t firstOutputBytes = 64 * 1024;

    /** Owns an inflate stream and ends it on every path. */
    struct Inflater {
        Inflater() { isReady = inflateInit(&stream) == Z_OK; }
        Inflater(const Inflater&) = delete;
        Inflater& operator=(const Inflater&) = delete;
        ~Inflater()
        {
            if (isReady)
                inflateEnd(&stream);
        }

        z_stream stream {};
        bool isReady = false;
    };

    Error decompressionError(const std::string& reason)
    {
        return makeError(ErrorKind::ProtocolError, "compressed text: " + reason);
    }

} // namespace

bool isCompressed(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() == deflateWithWindow32K;
}

std::string compressText(std::string_view text)
{
    auto length = compressBound(text.size());
    std::string bytes(length, '\0');
    [[maybe_unused]] auto status = compress2(reinterpret_cast<Bytef*>(bytes.data()), &length,
        reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_DEFAULT_COMPRESSION);
    assert(status == Z_OK);
    bytes.resize(length);
    return bytes;
}

Result<std::string> decompressText(std::string_view bytes, size_t maximumBytes)
{
    Inflater inflater;
    if (!inflater.isReady)
        return makeError(ErrorKind::Internal, "zlib failed to initialize");
    auto& stream = inflater.stream;
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data())); // zlib does not write to its input
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    int status = Z_OK;
    while (status == Z_OK) {
        auto used = text.size();
        if (used == maximumBytes)
            return decompressionError("longer than " + std::to_string(maximumBytes) + " bytes");
        text.resize(std::min(maximumBytes, std::max(firstOutputBytes, 2 * used)));
        stream.next_out = reinterpret_cast<Bytef*>(text.data() + used);
        stream.avail_out = static_cast<uInt>(text.size() - used);
        status = inflate(&stream, Z_NO_FLUSH);
        text.resize(text.size() - stream.avail_out);
    }
    if (status != Z_STREAM_END || stream.avail_in != 0)
        return decompressionError("corrupt or truncated");
    return text;
}

} // namespace chestnut

#include "frontend/streams/StreamId.h"

namespace chestnut {

namespace {

    constexpr char separator = '~';
    constexpr size_t digestPrefixLength = 16;

} // namespace

std::optional<DaemonId> daemonOf(const StreamId& id)
{
    // <daemon>-<incarnation>-<number>, see FrontendState::nextAttemptId()
    const auto& request = id.engineRequest.value();
    auto number = request.rfind('-');
    auto incarnation = number == std::string::npos || number == 0 ? std::string::npos : request.rfind('-', number - 1);
    if (incarnation == std::string::npos || incarnation == 0)
        return std::nullopt;
    return DaemonId(request.substr(0, incarnation));
}

std::string digestPrefixOf(const Digest& digest)
{
    return toHex(digest).substr(0, digestPrefixLength);
}

std::string formatStreamId(const StreamId& id)
{
    return id.engine.value() + separator + id.engineRequest.value() + separator + id.digestPrefix;
}

std::optional<StreamId> parseStreamId(std::string_view text)
{
    auto last = text.rfind(separator);
    if (last == std::string_view::npos || last == 0 || text.size() - last - 1 != digestPrefixLength)
        return std::nullopt;
    auto middle = text.rfind(separator, last - 1);
    if (middle == std::string_view::npos || middle == 0 || middle + 1 == last)
        return std::nullopt;
    StreamId id;
    id.engine = EngineId(std::string(text.substr(0, middle)));
    id.engineRequest = RequestId(std::string(text.substr(middle + 1, last - middle - 1)));
    id.digestPrefix = text.substr(last + 1);
    return id;
}

} // namespace chestnut

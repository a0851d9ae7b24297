#include "decisions/errors/ErrorCauses.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** A caller repeats a failed call within seconds. */
    constexpr Duration contentLifetime = std::chrono::seconds(10);
    constexpr size_t maximumContents = 64;

} // namespace

void ErrorCauses::addError(const Digest& content, const ReplicaId& replica, TimePoint now)
{
    std::erase_if(m_contents, [now](const Content& item) { return now - item.lastErrorAt >= contentLifetime; });
    Content latest { content, {}, now };
    if (auto found = std::ranges::find(m_contents, content, &Content::content); found != m_contents.end()) {
        latest.replicas = std::move(found->replicas);
        m_contents.erase(found);
    }
    latest.replicas.insert(replica);
    m_contents.push_back(std::move(latest));
    if (m_contents.size() > maximumContents)
        m_contents.pop_front();
}

void ErrorCauses::addSuccess(const Digest& content)
{
    std::erase_if(m_contents, [&content](const Content& item) { return item.content == content; });
}

bool ErrorCauses::isRequestTheCause(const Digest& content) const
{
    auto found = std::ranges::find(m_contents, content, &Content::content);
    return found != m_contents.end() && found->replicas.size() > 1;
}

} // namespace chestnut

#include "decisions/claims/ClaimKey.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace chestnut {

namespace {

    bool isKeyCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    }

    std::optional<UnixSeconds> parseSeconds(std::string_view text)
    {
        // Ten digits suffice until the year 2286; a longer number is no time in seconds.
        constexpr size_t maximumDigits = 10;
        uint64_t seconds = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (text.size() > maximumDigits || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return UnixSeconds(static_cast<int64_t>(seconds));
    }

} // namespace

std::optional<ClaimKey> parseClaimKey(std::string_view text)
{
    if (text.size() > maximumKeyLength || !std::ranges::all_of(text, isKeyCharacter))
        return std::nullopt;
    // The first '-' ends the time. A '.' before it ends the prefix; a '.' after it belongs to the random part.
    auto dash = text.find('-');
    if (dash == std::string_view::npos || dash + 1 == text.size())
        return std::nullopt;
    auto head = text.substr(0, dash);
    ClaimKey key;
    if (auto dot = head.find('.'); dot != std::string_view::npos) {
        if (dot == 0)
            return std::nullopt;
        key.ownerPrefix = head.substr(0, dot);
        head = head.substr(dot + 1);
    }
    auto time = parseSeconds(head);
    if (!time)
        return std::nullopt;
    key.time = *time;
    return key;
}

KeyAge keyAge(const ClaimKey& key, UnixSeconds now)
{
    auto lifetime = key.isShared() ? sharedKeyLifetime : daemonKeyLifetime;
    if (key.time < now - lifetime)
        return KeyAge::Expired;
    return key.time > now + longestKeyLead ? KeyAge::Ahead : KeyAge::Valid;
}

ClaimEpoch claimEpochOf(UnixSeconds time)
{
    return time / claimEpochLength;
}

bool isEpochClosable(ClaimEpoch epoch, UnixSeconds now)
{
    auto end = (epoch + 1) * claimEpochLength;
    return now >= end + claimEpochGrace;
}

Digest claimIdOf(const AccountId& account, std::string_view key)
{
    // A key contains no line break, so account and key cannot be confused.
    return digestOf(account.value() + "\n" + std::string(key));
}

unsigned claimShardOf(const Digest& claimId)
{
    return static_cast<unsigned>(claimId.high % claimShards);
}

ClaimLogId claimLogOf(const ClaimKey& key, const Digest& claimId)
{
    auto epoch = claimEpochOf(key.time);
    auto sinceStart = key.time - epoch * claimEpochLength;
    return { epoch, claimShardOf(claimId), static_cast<unsigned>(sinceStart / claimSliceLength) };
}

std::string daemonKeyPrefix(const DaemonId& daemon, Incarnation incarnation)
{
    char prefix[17]; // 16 hexadecimal digits and a terminator
    auto hash = hash64(daemon.value() + "\n" + std::to_string(incarnation));
    std::snprintf(prefix, sizeof(prefix), "%016llx", static_cast<unsigned long long>(hash));
    return prefix;
}

} // namespace chestnut

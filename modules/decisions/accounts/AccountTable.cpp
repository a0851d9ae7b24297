#include "decisions/accounts/AccountTable.h"

#include <algorithm>
#include <unordered_map>

namespace chestnut {

namespace {

    /** Longest name of an account in bytes; it is sent in a header field of each call. */
    constexpr size_t maximumAccountNameBytes = 200;

    bool isUsableName(std::string_view name)
    {
        auto isPrintable = [](char c) { return c >= ' ' && c <= '~'; };
        auto hasContent = !name.empty() && name.front() != ' ' && name.back() != ' ';
        return hasContent && name.size() <= maximumAccountNameBytes && std::ranges::all_of(name, isPrintable);
    }

} // namespace

std::string_view nameOf(AccountFault fault)
{
    switch (fault) {
    case AccountFault::UnusableName:
        return "unusable_name";
    case AccountFault::RepeatedName:
        return "repeated_name";
    case AccountFault::NoKeys:
        return "no_keys";
    case AccountFault::EmptyKey:
        return "empty_key";
    case AccountFault::SharedKey:
        return "shared_key";
    }
    return "unknown";
}

AccountTable::AccountTable(const std::vector<ClientAccount>& accounts, const DigestSecret& secret)
    : m_secret(secret)
{
    std::unordered_map<std::string_view, size_t> uses;
    size_t keys = 0;
    for (const auto& account : accounts) {
        ++uses[account.id.value()];
        keys += account.keys.size();
    }
    m_entries.reserve(keys);
    for (const auto& account : accounts) {
        if (!isUsableName(account.id.value()))
            m_problems.push_back({ account.id, AccountFault::UnusableName });
        else if (uses[account.id.value()] > 1)
            m_problems.push_back({ account.id, AccountFault::RepeatedName });
        addKeys(account);
    }
    removeSharedKeys();
    // The keys of invalid accounts are removed last: a key that also belongs to a valid account is shared.
    std::erase_if(m_entries, [&](const Entry& entry) {
        const auto& name = entry.account->id.value();
        return !isUsableName(name) || uses[name] > 1;
    });
}

void AccountTable::addKeys(const ClientAccount& account)
{
    auto hasKey = false;
    for (const auto& key : account.keys) {
        if (key.empty()) {
            m_problems.push_back({ account.id, AccountFault::EmptyKey });
            continue;
        }
        m_entries.push_back({ keyedDigestOf(key, m_secret), &account, &key });
        hasKey = true;
    }
    if (!hasKey)
        m_problems.push_back({ account.id, AccountFault::NoKeys });
}

void AccountTable::removeSharedKeys()
{
    std::ranges::stable_sort(m_entries, {}, &Entry::digest);
    std::vector<Entry> kept;
    kept.reserve(m_entries.size());
    for (auto first = m_entries.begin(); first != m_entries.end();) {
        auto last = std::find_if(first, m_entries.end(), [&](const Entry& entry) { return entry.digest != first->digest; });
        auto isShared = std::any_of(first, last, [&](const Entry& entry) { return entry.account != first->account; });
        if (!isShared)
            kept.push_back(*first);
        for (auto entry = first; isShared && entry != last; ++entry)
            m_problems.push_back({ entry->account->id, AccountFault::SharedKey });
        first = last;
    }
    m_entries = std::move(kept);
}

const ClientAccount* AccountTable::find(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    auto digest = keyedDigestOf(key, m_secret);
    auto found = std::ranges::lower_bound(m_entries, digest, {}, &Entry::digest);
    if (found == m_entries.end() || found->digest != digest || !equalInConstantTime(*found->key, key))
        return nullptr;
    return found->account;
}

} // namespace chestnut

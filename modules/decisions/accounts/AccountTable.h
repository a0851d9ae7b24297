#pragma once

#include "base/digest/Digest.h"
#include "decisions/accounts/ClientAccount.h"

#include <string_view>
#include <vector>

namespace chestnut {

/** Why an account, or one of its keys, authenticates no request. */
enum class AccountFault : uint8_t {
    UnusableName, /**< empty, too long, or not printable ASCII, so that it cannot be sent in a header field */
    RepeatedName, /**< several accounts have this name; none of them is in force */
    NoKeys, /**< the account has no usable key */
    EmptyKey, /**< the key is ignored, the other keys of the account are in force */
    SharedKey, /**< the key belongs to several accounts and authenticates none of them; their other keys are in force */
};

std::string_view nameOf(AccountFault);

struct AccountProblem {
    AccountId account;
    AccountFault fault {};

    bool operator==(const AccountProblem&) const = default;
};

/** Finds client accounts by their keys. Built once for each configuration. The keys are found by a digest under a secret, and
    compared in constant time, so that the duration of a lookup shows nothing about the keys of others. */
class AccountTable {
public:
    AccountTable() = default;
    /** The accounts must outlive the table, which keeps no copy of the keys. */
    AccountTable(const std::vector<ClientAccount>&, const DigestSecret&);

    /** The account that the key authenticates; null when there is none. */
    const ClientAccount* find(std::string_view key) const;

    /** What is wrong with the accounts, in their order. Contains no keys. */
    const std::vector<AccountProblem>& problems() const { return m_problems; }

    size_t keyCount() const { return m_entries.size(); }

private:
    struct Entry {
        Digest digest;
        const ClientAccount* account = nullptr;
        const std::string* key = nullptr;
    };

    /** Lists the usable keys of an account. */
    void addKeys(const ClientAccount&);
    /** Removes the keys that several accounts have, and all but one of the equal keys of one account. */
    void removeSharedKeys();

    std::vector<Entry> m_entries; /**< by digest */
    std::vector<AccountProblem> m_problems;
    DigestSecret m_secret {};
};

} // namespace chestnut

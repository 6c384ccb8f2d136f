#pragma once

#include "modules/berylcrank_balance/account/client_account.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** The accounts of the active configuration by key.

    The time of a lookup tells nothing about the keys: it uses a hash whose seed callers do not know, and then
    compares all bytes.

    @see client_account
*/
class account_table {
public:
    using account_list = std::optional<std::vector<client_account>>;

    /** `hash_seed` must be secret and differ from process to process. */
    explicit account_table(std::uint64_t hash_seed) : hash_seed_(hash_seed) {}
    account_table(const account_table&) = delete;
    account_table& operator=(const account_table&) = delete;
    ~account_table() = default;

    /** Replaces all accounts. Without a list, requests need no account; with an empty list, no key is valid.
        Invalidates the results of `find`. */
    void replace(account_list accounts);

    /** Returns whether requests need an account. */
    [[nodiscard]] bool required() const { return accounts_.has_value(); }

    /** Returns whether an account has a usage cap. */
    [[nodiscard]] bool has_caps() const { return has_caps_; }

    /** Returns the account with this key, or null. An empty key belongs to no account. */
    [[nodiscard]] const client_account* find(std::string_view key) const;

    /** Returns whether two different entries of `accounts` have a key in common. */
    [[nodiscard]] static bool has_shared_key(std::span<const client_account> accounts);

private:
    struct key_entry {
        std::string_view key; // of `account`
        const client_account* account;
    };

    [[nodiscard]] std::uint64_t hash(std::string_view key) const;

    std::uint64_t hash_seed_;
    account_list accounts_;
    bool has_caps_{false};
    absl::flat_hash_map<std::uint64_t, std::vector<key_entry>> by_hash_;
};

} // namespace berylcrank

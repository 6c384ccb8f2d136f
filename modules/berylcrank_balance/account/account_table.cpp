#include "modules/berylcrank_balance/account/account_table.h"

#include <map>
#include <utility>
#include <xxhash.h>

namespace berylcrank {

namespace {

// Compares all bytes wherever the first difference is. The time depends on the lengths only.
bool equal_in_constant_time(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) {
        return false;
    }
    volatile unsigned char difference = 0; // volatile, so that the compiler does not end the loop early
    for (std::size_t n = 0; n < a.size(); ++n) {
        difference = static_cast<unsigned char>(difference | static_cast<unsigned char>(a[n] ^ b[n]));
    }
    return difference == 0;
}

} // namespace

void account_table::replace(account_list accounts) {
    by_hash_.clear();
    has_caps_ = false;
    accounts_ = std::move(accounts);
    if (!accounts_) {
        return;
    }
    for (const auto& account : *accounts_) {
        has_caps_ = has_caps_ || account.cap().has_value();
        for (const auto& key : account.keys) {
            if (!key.empty()) {
                by_hash_[hash(key)].push_back({.key = key, .account = &account});
            }
        }
    }
}

const client_account* account_table::find(std::string_view key) const {
    const auto it = by_hash_.find(hash(key));
    if (it == by_hash_.end()) {
        return nullptr;
    }
    const client_account* result = nullptr;
    for (const auto& entry : it->second) {
        if (equal_in_constant_time(entry.key, key)) {
            result = entry.account;
        }
    }
    return result;
}

bool account_table::has_shared_key(std::span<const client_account> accounts) {
    std::map<std::string_view, const client_account*> owners;
    for (const auto& account : accounts) {
        for (const auto& key : account.keys) {
            const auto [it, added] = owners.try_emplace(key, &account);
            if (!added && it->second != &account) {
                return true;
            }
        }
    }
    return false;
}

std::uint64_t account_table::hash(std::string_view key) const {
    return XXH3_64bits_withSeed(key.data(), key.size(), hash_seed_);
}

} // namespace berylcrank

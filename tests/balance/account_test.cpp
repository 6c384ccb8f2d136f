#include "modules/berylcrank_balance/account/account_table.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

std::vector<client_account> two_accounts() {
    return {{.name = "alpha", .keys = {"alpha-1", "alpha-2", ""}, .priority = 1},
            {.name = "beta", .keys = {"beta-1"}}};
}

struct account_table_fixture {
    account_table subject{5};

    [[nodiscard]] std::string owner(std::string_view key) const {
        const auto* it = subject.find(key);
        return it == nullptr ? "" : it->name;
    }
};

} // namespace

// Guards against keys of one account that identify another, and against parts of a key that pass for it.
TEST_CASE_FIXTURE(account_table_fixture, "account_table, several keys, finds the account of each exact key") {
    subject.replace(two_accounts());
    CHECK(subject.required());
    CHECK(owner("alpha-1") == "alpha");
    CHECK(owner("alpha-2") == "alpha");
    CHECK(owner("beta-1") == "beta");
    CHECK(subject.find("alpha-1")->priority == 1);
    CHECK_FALSE(subject.find("beta-1")->priority);
    for (const auto* key : {"", "alpha-", "alpha-11", "alpha-3", "ALPHA-1", "xlpha-1"}) {
        CHECK(subject.find(key) == nullptr);
    }
    CHECK(subject.find({"alpha-1\0", 8}) == nullptr);
}

// Guards against removed keys that stay valid, and against accounts that are required where none are
// configured.
TEST_CASE_FIXTURE(account_table_fixture, "account_table, replaced, knows only the new keys") {
    CHECK_FALSE(subject.required());
    CHECK(subject.find("alpha-1") == nullptr);
    subject.replace(two_accounts());
    subject.replace(std::vector<client_account>{{.name = "alpha", .keys = {"alpha-2", "beta-1"}}});
    CHECK(owner("alpha-1").empty());
    CHECK(owner("alpha-2") == "alpha");
    CHECK(owner("beta-1") == "alpha");
    subject.replace(std::vector<client_account>{});
    CHECK(subject.required());
    CHECK(owner("alpha-2").empty());
    subject.replace(std::nullopt);
    CHECK_FALSE(subject.required());
}

// Guards against a seed that decides which keys are found.
TEST_CASE("account_table, any seed, finds all of many keys") {
    std::vector<client_account> accounts(500);
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        accounts[n] = {.name = "a" + std::to_string(n),
                       .keys = {"k" + std::to_string(n), "j" + std::to_string(n)}};
    }
    for (const std::uint64_t seed : {0ULL, 1ULL, ~0ULL}) {
        account_table subject(seed);
        subject.replace(accounts);
        for (const auto& it : accounts) {
            CHECK(subject.find(it.keys[0])->name == it.name);
            CHECK(subject.find(it.keys[1])->name == it.name);
        }
    }
}

// Guards against a key whose account depends on the order of the configuration.
TEST_CASE("account_table, key of two accounts, is reported") {
    auto accounts = two_accounts();
    CHECK_FALSE(account_table::has_shared_key(accounts));
    accounts[0].keys.emplace_back("alpha-1"); // twice in one account
    CHECK_FALSE(account_table::has_shared_key(accounts));
    accounts[1].keys.emplace_back("alpha-1");
    CHECK(account_table::has_shared_key(accounts));
}

} // namespace berylcrank

#include "modules/berylcrank_gateway/memory/memory_account.h"

#include "modules/berylcrank_gateway/memory/memory_charge.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

constexpr instant start{millis{1000}};

// Long charges of all addresses may take 800 bytes, those of one address 600.
struct memory_account_fixture {
    std::shared_ptr<memory_account> subject =
        std::make_shared<memory_account>(memory_account::options{.limit = 1000,
                                                                 .short_reserve = 200,
                                                                 .short_bytes = 50,
                                                                 .address_limit = 600,
                                                                 .stall_time = millis{500}});
    memory_charge first{subject, "a", [this] { first.reduce(0); }};
    memory_charge second{subject, "b", [this] { second.reduce(0); }};
    memory_charge third{subject, "c"};
};

} // namespace

// Guards against a charge that stays in the account after its owner is gone.
TEST_CASE_FIXTURE(memory_account_fixture, "memory account, charge destroyed or reduced, its bytes are free") {
    {
        memory_charge it{subject, "a"};
        CHECK(it.resize(400, start));
        CHECK(subject->used() == 400);
        it.reduce(100);
        CHECK(subject->used() == 100);
        it.reduce(300);
        CHECK(subject->used() == 100);
    }
    CHECK(subject->used() == 0);
}

// Guards against long charges that take the share of short ones.
TEST_CASE_FIXTURE(memory_account_fixture,
                  "memory account, long charges at their limit, short ones still fit") {
    CHECK(first.resize(500, start));
    CHECK(second.resize(300, start));
    CHECK_FALSE(third.resize(51, start));
    CHECK(third.bytes() == 0);
    CHECK(third.resize(50, start));
    CHECK(subject->used() == 850);
}

// Guards against one address that takes the whole account, and against its short requests being refused.
TEST_CASE_FIXTURE(memory_account_fixture,
                  "memory account, address at its limit, only its short charges fit") {
    memory_charge same{subject, "a"};
    CHECK(second.resize(100, start));
    CHECK(first.resize(600, start));
    CHECK_FALSE(same.resize(60, start));
    CHECK(same.resize(50, start));
    CHECK(third.resize(60, start));
}

// Guards against a body that keeps its memory although its client has stopped, and against a body that still
// makes progress being shed.
TEST_CASE_FIXTURE(memory_account_fixture, "memory account, short, sheds what made no progress for longest") {
    CHECK(first.resize(400, start));
    CHECK(second.resize(400, start + millis{1}));
    CHECK(first.resize(400, start + millis{2})); // progress without growth
    CHECK_FALSE(third.resize(300, start + millis{500}));
    CHECK(third.resize(300, start + millis{501}));
    CHECK(first.bytes() == 400);
    CHECK(second.bytes() == 0);
    CHECK(subject->refused() == 1);
    CHECK(subject->shed() == 1);
}

// Guards against closing connections of other callers for the sake of a caller who is over its own limit.
TEST_CASE_FIXTURE(memory_account_fixture,
                  "memory account, address over its limit, sheds only its own charges") {
    memory_charge same{subject, "b"};
    CHECK(first.resize(100, start));
    CHECK(second.resize(600, start + millis{1}));
    CHECK(same.resize(100, start + millis{900}));
    CHECK(first.bytes() == 100);
    CHECK(second.bytes() == 0);
}

// Guards against a request within the limits that is refused at a node without other load.
TEST_CASE_FIXTURE(memory_account_fixture, "memory account, only one long charge, fits whatever its size") {
    CHECK(first.resize(5000, start));
    CHECK_FALSE(third.resize(60, start));
}

// Guards against refusals by a node whose memory is not configured.
TEST_CASE("memory account, no limit, every charge fits") {
    const auto subject = std::make_shared<memory_account>(memory_account::options_for(0));
    memory_charge first{subject, "a"};
    memory_charge second{subject, "a"};
    CHECK(first.resize(std::size_t{1} << 40U, start));
    CHECK(second.resize(std::size_t{1} << 40U, start));
}

} // namespace berylcrank

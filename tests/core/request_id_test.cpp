#include "modules/berylcrank_core/berylcrank_core.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

struct id_minter_fixture {
    id_minter subject{{.self = incarnation{0xabc}, .secret = 7}};
    std::string prefix = subject.mint_prefix(instant{millis{1500}});
};

} // namespace

// Guards against dispatching ids that the node never minted.
TEST_CASE_FIXTURE(id_minter_fixture, "id_minter, id with a prefix of this run, is genuine") {
    const auto id = parse_request_id(prefix + ".42");
    REQUIRE(id.has_value());
    CHECK(subject.is_genuine(*id));
    CHECK(id->number == 42);
    CHECK(id->minted == instant{millis{1500}});
}

TEST_CASE_FIXTURE(id_minter_fixture,
                  "id_minter, id of another run or with a changed mint time, is not genuine") {
    auto id = parse_request_id(prefix + ".1");
    REQUIRE(id.has_value());
    id->minted = id->minted + millis{1};
    CHECK_FALSE(subject.is_genuine(*id));
    const id_minter other{{.self = incarnation{0xabd}, .secret = 7}};
    CHECK_FALSE(other.is_genuine(*parse_request_id(prefix + ".1")));
}

// Guards against a parser that accepts an id with a valid beginning and trailing or missing parts.
TEST_CASE_FIXTURE(id_minter_fixture, "parse_request_id, malformed text, returns nothing") {
    for (const std::string& text :
         std::vector<std::string>{"", ".", prefix, prefix + ".", prefix + ".x", prefix + ".1 ",
                                  prefix + ".-1", "0-1-1-1.1", prefix + ".99999999999999999999999"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_request_id(text).has_value());
    }
}

TEST_CASE("request_id, formatted and parsed, is unchanged") {
    id_minter minter{{.self = incarnation{~0ULL}, .secret = 1}};
    const auto text = minter.mint_prefix(instant{millis{123456789}}) + ".18446744073709551615";
    CHECK(to_string(*parse_request_id(text)) == text);
}

} // namespace berylcrank

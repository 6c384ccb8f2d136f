#pragma once

#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Content of a `Berylcrank-Load` header. @see parse_load_header */
struct upstream_load {
    std::optional<load_report> report; ///< Set if the header states the requests in flight.
    std::string incarnation;           ///< Empty if the header names none.
    bool is_cold{false};
    bool is_draining{false};
};

/** Parses `in_flight=3;slots=4;state=warm;incarnation=9f0c`. Fields are optional and may come in any order.
    Unknown and malformed fields are ignored, because a load report must never fail a request. */
upstream_load parse_load_header(std::string_view text);

} // namespace berylcrank

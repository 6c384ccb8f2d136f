#pragma once

#include "modules/berylcrank_gateway/http/message_head.h"

namespace berylcrank {

/** How the Transfer-Encoding fields of a header frame the body. */
enum class body_coding : std::uint8_t {
    none,    ///< There is no Transfer-Encoding.
    chunked, ///< The body is chunked, without another coding.
    invalid, ///< The list is empty, or chunked is not its last coding.
    unknown, ///< A coding other than chunked is applied.
};

/** Returns how the Transfer-Encoding fields frame the body. */
body_coding parse_body_coding(const header_list& headers);

/** Returns true for a status from 100 to 599 except 101, which answers an Upgrade that is never requested. */
bool is_valid_status(int status);

/** Returns true for a status whose responses have no body. */
bool is_bodyless_status(int status);

/** Returns true if the status and the framing fields of a response are valid and agree. A 304 may state the
    length of a body that it does not have. */
bool is_valid_framing(const response_head& head);

} // namespace berylcrank

#pragma once

#include <capnp/message.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Cap'n Proto encoding of a message. */
enum class message_encoding : std::uint8_t { packed, flat };

/** Encodes a message behind a magic number and a checksum, which let `read_message` reject foreign or corrupt
    data. */
std::string write_message(capnp::MessageBuilder& message, message_encoding encoding);

/** Decodes the output of `write_message` and passes the message to `visit`. Never throws.
    @returns A description of the error; empty on success.
*/
std::string read_message(std::string_view data, const std::function<void(capnp::MessageReader&)>& visit);

} // namespace berylcrank

#pragma once

#include <capnp/message.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace berylcrank {

/** How a message is written. */
enum class message_form : std::uint8_t { packed, flat };

/** Writes a message with a mark and a checksum, so that foreign or damaged bytes are recognised. */
std::string write_message(capnp::MessageBuilder& message, message_form form);

/** Reads bytes of `write_message` and passes the message to `use`. Returns what is wrong with the bytes, or
   nothing. Never throws. */
std::string read_message(std::string_view data, const std::function<void(capnp::MessageReader&)>& use);

} // namespace berylcrank

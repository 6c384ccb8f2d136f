#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <boost/leaf/result.hpp>
#include <capnp/message.h>
#include <memory>
#include <settings.capnp.h>
#include <string>
#include <string_view>

namespace berylcrank {

/** Settings of one node. Owns the message that its readers refer to. Safe to read from several threads.

    @see load_settings, schema/settings.capnp
*/
class settings {
public:
    settings();

    /** The settings; valid for the lifetime of this object. */
    [[nodiscard]] schema::Settings::Reader get() const;

    /** Gives the loader write access to the message. */
    schema::Settings::Builder edit();

private:
    std::unique_ptr<capnp::MallocMessageBuilder> message_;
};

/** Loads a settings file (YAML or JSON). Fails with `load_errors`. */
boost::leaf::result<settings> load_settings(const std::string& path);

/** Parses settings from text. `file` is used only in error messages. Fails with `load_errors`. */
boost::leaf::result<settings> parse_settings(std::string_view text, std::string_view file);

} // namespace berylcrank

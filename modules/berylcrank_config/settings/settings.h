#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <boost/leaf/result.hpp>
#include <capnp/message.h>
#include <memory>
#include <settings.capnp.h>
#include <string>
#include <string_view>

namespace berylcrank {

/** Settings of one node; owns the message that its readers point into. Safe to read from several threads.

    @see load_settings, schema/settings.capnp
*/
class settings {
public:
    settings();

    /** The settings; valid as long as this object lives. */
    [[nodiscard]] schema::Settings::Reader get() const;

    /** The message, for the loader. */
    schema::Settings::Builder edit();

private:
    std::unique_ptr<capnp::MallocMessageBuilder> message_;
};

/** Reads the settings file at `path` (YAML or JSON); fails with `load_errors`. */
boost::leaf::result<settings> load_settings(const std::string& path);

/** Reads settings from text; `file` is used in messages only. Fails with `load_errors`. */
boost::leaf::result<settings> parse_settings(std::string_view text, std::string_view file);

} // namespace berylcrank

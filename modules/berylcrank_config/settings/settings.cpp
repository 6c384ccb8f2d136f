#include "modules/berylcrank_config/settings/settings.h"

#include "modules/berylcrank_config/schema/struct_loader.h"
#include "modules/berylcrank_config/schema/text_file.h"

#include <boost/leaf/error.hpp>

namespace berylcrank {

settings::settings() : message_(std::make_unique<capnp::MallocMessageBuilder>()) {
    message_->initRoot<schema::Settings>();
}

schema::Settings::Reader settings::get() const {
    return message_->getRoot<schema::Settings>().asReader();
}

schema::Settings::Builder settings::edit() {
    return message_->getRoot<schema::Settings>();
}

boost::leaf::result<settings> parse_settings(std::string_view text, std::string_view file) {
    settings parsed;
    auto errors = load_struct(text, file, capnp::toDynamic(parsed.edit()));
    if (!errors.empty()) {
        return boost::leaf::new_error(load_errors{std::move(errors)});
    }
    return parsed;
}

boost::leaf::result<settings> load_settings(const std::string& path) {
    BOOST_LEAF_AUTO(text, read_text_file(path));
    return parse_settings(text, path);
}

} // namespace berylcrank

#include "modules/berylcrank_core/random/random_source.h"
#include "standins/common/arguments.h"
#include "standins/common/serve.h"
#include "standins/upstream/upstream_handler.h"

#include <iostream>

using namespace berylcrank::standins;

// Test double for an upstream. Arguments: --port, --name, --threads and each field of worker_settings, e.g.
// --service-ms 2.
int main(int argc, char** argv) {
    try {
        auto arguments = read_arguments(argc, argv);
        const auto port = take_argument<unsigned>(arguments, "port", 0);
        const auto name = take_argument<std::string>(arguments, "name", "upstream");
        const auto threads = take_argument<unsigned>(arguments, "threads", 2);
        nlohmann::json settings = worker_settings{};
        for (const auto& [key, value] : arguments.items()) {
            if (!settings.contains(key)) {
                throw std::invalid_argument("unknown argument \"--" + key + "\"");
            }
        }
        settings.merge_patch(arguments);
        block_stop_signals();
        worker it(settings.get<worker_settings>(), berylcrank::entropy());
        upstream_handler handler(it, name);
        return serve({.address = "127.0.0.1:" + std::to_string(port), .threads = threads}, handler);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}

#pragma once

#include "modules/berylcrank_balance/catalog/upstream_entry.h"
#include "modules/berylcrank_balance/config/deployment_config.h"
#include "modules/berylcrank_balance/load/load_snapshot.h"

#include <boost/leaf/result.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace berylcrank {

/** Names of the headers that callers, nodes and upstreams use. */
struct header_names {
    std::string request_id;        ///< Differs for each attempt of a caller.
    std::string time_left;         ///< Milliseconds for which the caller waits.
    std::string expected_upstream; ///< Id of the upstream that alone may run the request.
    std::string not_run;           ///< On a response: the upstream did not run the request.
    std::string retry_after;       ///< Seconds, with fractions.
    std::string load;              ///< On a response: the upstream's load.
    std::string upstream_id;       ///< On a health response.
    std::string cold_left;         ///< On a health response: milliseconds for which the upstream stays cold.
};

/** What the records of operators can say. */
enum class operator_record : std::uint8_t { configuration, evacuation, other };

/** The outer formats of a deployment, translated into this program's types. Implemented by the adapter of a
    platform; decides nothing. Errors are std::string with the reason.
*/
class wire_format {
public:
    wire_format() = default;
    wire_format(const wire_format&) = delete;
    wire_format& operator=(const wire_format&) = delete;
    virtual ~wire_format() = default;

    [[nodiscard]] virtual const header_names& headers() const = 0;

    /** Reads the load header; nothing if it cannot be read. `at` is left to the caller. */
    [[nodiscard]] virtual std::optional<load_snapshot> read_load(std::string_view value) const = 0;

    /** What an operators' key names; `failure_domain` is set for an evacuation. */
    [[nodiscard]] virtual operator_record classify(std::string_view key,
                                                   std::string& failure_domain) const = 0;

    [[nodiscard]] virtual boost::leaf::result<deployment_config>
    read_config(std::string_view value) const = 0;

    /** Reads a registration; `id` is its key. */
    [[nodiscard]] virtual boost::leaf::result<upstream_entry> read_upstream(std::string_view id,
                                                                            std::string_view value) const = 0;

    /** Body of an answer to callers who ask where to connect. */
    [[nodiscard]] virtual std::string write_addresses(std::span<const std::string> addresses,
                                                      millis ttl) const = 0;

    /** Media type of that body. */
    [[nodiscard]] virtual std::string_view content_type() const = 0;
};

} // namespace berylcrank

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

/** Names of the headers between callers, nodes and upstreams. */
struct header_names {
    std::string request_id;      ///< Unique for each attempt of a caller.
    std::string timeout;         ///< Milliseconds for which the sender waits for the response.
    std::string target_upstream; ///< Id of the only upstream that may run the request.
    std::string not_run;         ///< On a response: the upstream did not run the request.
    std::string retry_after;     ///< Seconds, with fractions.
    std::string signature;       ///< On a response that an upstream produced by running a request.
    std::string leaving;         ///< On a response: the upstream is about to stop.
    std::string load;            ///< On a response: the load of the upstream.
    std::string upstream_id;     ///< On a health response: id of the upstream.
    std::string warm_up_left;    ///< On a health response: milliseconds until the upstream is warm.
    std::string authorization;   ///< Of a caller: contains the key of its account.
    std::string account;         ///< To an upstream: name of the caller's account.
    std::string challenge;       ///< On a 401 response: how to send a key.
};

/** Kinds of the operators' records. */
enum class operator_record : std::uint8_t { configuration, evacuation, other };

/** Translates the external formats of a deployment into the types of this program. The adapter of a platform
    implements it; it contains no decisions. Errors are std::string with the reason. */
class wire_format {
public:
    /** Upper bound of a time that an upstream asks to be left alone. */
    static constexpr millis max_retry_after{3600000};

    wire_format() = default;
    wire_format(const wire_format&) = delete;
    wire_format& operator=(const wire_format&) = delete;
    virtual ~wire_format() = default;

    [[nodiscard]] virtual const header_names& headers() const = 0;

    /** Parses the load header. Returns nothing if it is malformed. Does not set `at`. */
    [[nodiscard]] virtual std::optional<load_snapshot> read_load(std::string_view value) const = 0;

    /** Parses the retry header of a response. Returns nothing if it is not a number of seconds. The result is
        between 0 and `max_retry_after`. */
    [[nodiscard]] virtual std::optional<millis> read_retry_after(std::string_view value) const = 0;

    /** Returns whether the value of the leaving header announces a stop. */
    [[nodiscard]] virtual bool read_leaving(std::string_view value) const = 0;

    /** Parses the authorization header of a request. Returns the key, which is not empty, or nothing if the
        value has another form. */
    [[nodiscard]] virtual std::optional<std::string_view> read_key(std::string_view value) const = 0;

    /** Returns the value of the challenge header. */
    [[nodiscard]] virtual std::string_view challenge() const = 0;

    /** Returns the kind of the record that an operators' key names. Sets `failure_domain` for an
        evacuation. */
    [[nodiscard]] virtual operator_record classify(std::string_view key,
                                                   std::string& failure_domain) const = 0;

    /** Parses a configuration. Error messages contain no key of an account. */
    [[nodiscard]] virtual boost::leaf::result<deployment_config>
    read_config(std::string_view value) const = 0;

    /** Parses the registration of an upstream. `id` is the key of its record. */
    [[nodiscard]] virtual boost::leaf::result<upstream_entry> read_upstream(std::string_view id,
                                                                            std::string_view value) const = 0;

    /** Returns the response body of an address lookup. `ttl` is the time to live of the list. */
    [[nodiscard]] virtual std::string write_addresses(std::span<const std::string> addresses,
                                                      millis ttl) const = 0;

    /** Returns the media type of that body. */
    [[nodiscard]] virtual std::string_view content_type() const = 0;
};

} // namespace berylcrank

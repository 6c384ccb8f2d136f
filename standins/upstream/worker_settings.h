#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace berylcrank::standins {

/** Behaviour of a worker. `POST /control` changes any of the fields. */
struct worker_settings {
    unsigned slots{4};              ///< Requests that run concurrently.
    unsigned queue{64};             ///< Requests that wait for a slot; further ones are shed.
    double service_ms{1};           ///< Mean service time; 0 responds immediately.
    bool exponential{false};        ///< Draws service times from an exponential distribution.
    std::uint64_t seed{1};          ///< Seed of the random service times.
    double slow_factor{1};          ///< Multiplies the service time.
    unsigned cold_concurrency{1};   ///< Requests that a cold worker can handle concurrently.
    std::uint64_t warm_requests{0}; ///< The worker is warm after this many requests; 0: always warm.
    double cold_slow_factor{1};     ///< Multiplies the service time while cold.
    bool drain{false};              ///< Reports `state=draining`, but still runs and counts requests.
    bool shed{false};               ///< Responds to every request with 503 and `Berylcrank-Verdict: not-run`.
    bool retry_no{false};           ///< Adds `Berylcrank-Retry: no` to the responses to shed requests.
    bool fail_fast{false};          ///< Responds with `fail_status` immediately.
    int fail_status{500};
    std::string crash_marker;        ///< The process exits when a path or body contains this text.
    std::int64_t lie_in_flight{-1};  ///< Reported instead of the real number of requests in flight; -1: off.
    double report_age_ms{0};         ///< Age of the state that load reports describe.
    double probe_delay_ms{0};        ///< Delay of the response to `GET /load`.
    std::string fault;               ///< Fault of responses; empty: none. @see upstream_handler
    std::int64_t fault_count{-1};    ///< Number of responses that get the fault; -1: all.
    std::string fault_path;          ///< Limits the fault to paths that contain this text.
    std::uint64_t fault_bytes{1024}; ///< Bytes of a download that are sent before `cut` or `stall`.
    std::string etag_salt;           ///< Appended to every entity tag, to simulate changed content.
    bool weak_etag{false};           ///< Sends a weak entity tag with downloads.
    bool ignore_range{false};        ///< Responds to range requests with the complete download.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_settings, slots, queue, service_ms, exponential, seed,
                                                slow_factor, cold_concurrency, warm_requests,
                                                cold_slow_factor, drain, shed, retry_no, fail_fast,
                                                fail_status, crash_marker, lie_in_flight, report_age_ms,
                                                probe_delay_ms, fault, fault_count, fault_path, fault_bytes,
                                                etag_salt, weak_etag, ignore_range)

} // namespace berylcrank::standins

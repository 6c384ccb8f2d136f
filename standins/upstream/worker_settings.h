#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace berylcrank::standins {

/** How the worker behaves; changed by `POST /control` with any of the fields. */
struct worker_settings {
    unsigned slots{4};              ///< Requests that run at once.
    unsigned queue{64};             ///< Requests that wait for a slot; further ones are shed.
    double service_ms{1};           ///< Mean service time; 0 answers at once.
    bool exponential{false};        ///< Exponential instead of fixed service times.
    std::uint64_t seed{1};          ///< Seed of the service times.
    double slow_factor{1};          ///< Multiplies the service time.
    unsigned cold_concurrency{1};   ///< Requests that a cold worker bears at once.
    std::uint64_t warm_requests{0}; ///< Warm after this many requests; 0: warm from the start.
    double cold_slow_factor{1};     ///< Multiplies the service time while cold.
    bool drain{false};              ///< Reports `state=draining`; requests are still served and counted.
    bool shed{false};               ///< Answers everything with 503 and `Berylcrank-Verdict: not-run`.
    bool retry_no{false};           ///< Shed answers carry `Berylcrank-Retry: no`.
    bool fail_fast{false};          ///< Answers `fail_status` at once.
    int fail_status{500};
    std::string crash_marker;        ///< The process exits when a path or body contains this.
    std::int64_t lie_in_flight{-1};  ///< Reported instead of the true number; -1: the truth.
    double report_age_ms{0};         ///< Load reports describe the state of this long ago.
    double probe_delay_ms{0};        ///< `GET /load` is answered after this.
    std::string fault;               ///< Fault of answers, see worker_fault.h; empty: none.
    std::int64_t fault_count{-1};    ///< Answers that get the fault; -1: all.
    std::string fault_path;          ///< Only for paths that contain this.
    std::uint64_t fault_bytes{1024}; ///< Bytes of a download before `cut` or `stall`.
    std::string etag_salt;           ///< Part of every strong entity tag.
    bool weak_etag{false};           ///< Downloads carry a weak entity tag.
    bool ignore_range{false};        ///< Range requests get the whole download.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_settings, slots, queue, service_ms, exponential, seed,
                                                slow_factor, cold_concurrency, warm_requests,
                                                cold_slow_factor, drain, shed, retry_no, fail_fast,
                                                fail_status, crash_marker, lie_in_flight, report_age_ms,
                                                probe_delay_ms, fault, fault_count, fault_path, fault_bytes,
                                                etag_salt, weak_etag, ignore_range)

} // namespace berylcrank::standins

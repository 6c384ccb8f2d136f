#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace berylcrank::standin {

/** Capacity, service time and injected fault of a worker. */
struct worker_behaviour {
    std::string id;
    int slots{4};    ///< Requests that run concurrently.
    int queue{8};    ///< Requests that wait for a slot; further ones are shed.
    int work_ms{10}; ///< Service time at a slowness of 100.
    std::size_t body_bytes{100};
    int slowness{100};        ///< Service time in percent of `work_ms`; the fourth field of `Server-Load`.
    int warm_up_ms{0};        ///< Value of `Warmup-Ms` in health check responses; 0 leaves the header out.
    bool leaving{false};      ///< Announces its stop in all responses.
    std::string crash_target; ///< Target of requests that end the process when they begin to run.
    std::string hang_target;  ///< Target of requests that stop the process, which keeps its connections.
    std::string
        retry_after; ///< Whole seconds of `Retry-After` in responses to shed requests; empty leaves it out.
    int pieces{2};   ///< In the mode `pieces`: number of pieces in which a response body is sent.
    int pause_ms{0}; ///< In the mode `pieces`: time between two pieces.
    int cut{0};      ///< In the mode `cut-head`: number of bytes that are sent.
    int status{503}; ///< In the mode `ran-with-status`: status of the responses.
    /** good, shed, shed-late (after the service time), shed-again, shed-again-unnamed, error,
       ran-with-status (with Retry-After, and without a statement that the request did not run), reset,
       early-reset (sends part of a body without a length and resets before it has read the request),
       truncate, cut-head (closes within the head), unframed, unframed-reset, extra, late, late-unnamed,
       unsigned, mute, slow-head, endless-head, endless-body, endless-chunk, endless-shed, endless-health,
       endless-interim, endless-interim-health, pieces or status-000. */
    std::string mode{"good"};

    /** Changes the setting `name`; a number that cannot be parsed changes nothing. */
    void set(std::string_view name, const std::string& value);
};

} // namespace berylcrank::standin

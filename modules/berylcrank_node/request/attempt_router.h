#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_http/client/upstream_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** An attempt that needs an upstream. @see attempt_router */
struct attempt_request {
    std::string service;
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    instant deadline;                  ///< Nothing is sent after this; `instant::never()` for downloads.
    std::uint64_t fingerprint{0};      ///< Hash of method, path and body.
    std::vector<std::string> excluded; ///< Upstreams that were already tried.
    bool is_retry{false};              ///< Spends from the retry budget.
};

/** Reason why no upstream was assigned. The request did not run. @see attempt_router */
struct attempt_refusal {
    int status{503};
    std::string reason;         ///< For the caller, e.g. "queue of service pedidos is full".
    bool is_retry_useful{true}; ///< False passes `Berylcrank-Retry: no` on to the caller.
};

/** A chosen upstream, reserved for one attempt until `finish` or destruction.
    @see attempt_router
*/
class attempt_target {
public:
    attempt_target() = default;
    attempt_target(const attempt_target&) = delete;
    attempt_target& operator=(const attempt_target&) = delete;
    virtual ~attempt_target() = default;

    /** Name of the upstream. */
    [[nodiscard]] virtual const std::string& upstream() const = 0;

    /** IP address and port of the upstream. */
    [[nodiscard]] virtual const std::string& address() const = 0;

    /** Maximum time from now to the end of the attempt, also at the upstream; nothing if the upstream is
        known to be warm. The attempt's timeout and its `Berylcrank-Timeout-Ms` must not be longer. */
    [[nodiscard]] virtual std::optional<millis> run_limit() const { return std::nullopt; }

    /** Called by `upstream_observer::may_send`. The flow itself checks deadline and cancellation. */
    virtual bool may_send(const connection_info& it) = 0;

    /** Processes the value of the response's `Berylcrank-Load` header; empty if there is none. */
    virtual void report_load(std::string_view header) = 0;

    /** Releases the upstream and reports how the attempt ended. */
    virtual void finish(const attempt_result& it) = 0;
};

/** Chooses an upstream for each attempt. Applies configuration, policy, limits, queues, budgets and cold
    admission.
    @see attempt_target
*/
class attempt_router {
public:
    using target_callback = std::function<void(std::unique_ptr<attempt_target>)>;
    using refusal_callback = std::function<void(attempt_refusal)>;

    attempt_router() = default;
    attempt_router(const attempt_router&) = delete;
    attempt_router& operator=(const attempt_router&) = delete;
    virtual ~attempt_router() = default;

    /** Calls exactly one of the two callbacks, once, on any thread, possibly before returning. */
    virtual void route(attempt_request it, target_callback found, refusal_callback refused) = 0;
};

} // namespace berylcrank

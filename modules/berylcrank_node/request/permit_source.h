#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_routing/cold/cold_permit.h"
#include "modules/berylcrank_routing/cold/permit.h"

#include <functional>
#include <optional>
#include <string>

namespace berylcrank {

/** Source of permits for upstreams that are not known to be warm. Thread-safe.
    @see cold_gate
*/
class permit_source {
public:
    using permit_callback = std::function<void(std::optional<cold_permit>)>;

    permit_source() = default;
    permit_source(const permit_source&) = delete;
    permit_source& operator=(const permit_source&) = delete;
    virtual ~permit_source() = default;

    /** Requests a permit until `deadline`. `done` is called once, on any thread, possibly before returning.
     */
    virtual void acquire(const std::string& upstream, request_class it, instant deadline,
                         permit_callback done) = 0;

    /** Releases a permit, or reports a cold upstream if `permit` is 0. */
    virtual void release(const permit_release& it) = 0;
};

} // namespace berylcrank

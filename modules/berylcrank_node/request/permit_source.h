#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_routing/cold/cold_permit.h"
#include "modules/berylcrank_routing/cold/permit.h"

#include <functional>
#include <optional>
#include <string>

namespace berylcrank {

/** Where a node gets permits for upstreams that are not known to be warm. Safe from any thread.

    @see cold_gate
*/
class permit_source {
public:
    using on_permit = std::function<void(std::optional<cold_permit>)>;

    permit_source() = default;
    permit_source(const permit_source&) = delete;
    permit_source& operator=(const permit_source&) = delete;
    virtual ~permit_source() = default;

    /** Asks for a permit until `deadline`; `done` is called once, from any thread, perhaps before returning.
     */
    virtual void acquire(const std::string& upstream, request_class it, instant deadline, on_permit done) = 0;

    /** Gives a permit back, or reports a cold upstream if `permit` is 0. */
    virtual void release(const permit_release& it) = 0;
};

} // namespace berylcrank

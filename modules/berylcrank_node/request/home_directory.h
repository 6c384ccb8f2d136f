#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"

#include <optional>
#include <string>

namespace berylcrank {

/** Where the other runs of nodes can be reached by RPC. Safe from any thread.

    @see order_flow
*/
class home_directory {
public:
    home_directory() = default;
    home_directory(const home_directory&) = delete;
    home_directory& operator=(const home_directory&) = delete;
    virtual ~home_directory() = default;

    /** RPC address of the run, or nothing if it is not known. Never that of another run of the same VM. */
    [[nodiscard]] virtual std::optional<std::string> find(incarnation it) const = 0;
};

} // namespace berylcrank

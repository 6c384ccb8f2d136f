#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"

#include <optional>
#include <string>

namespace berylcrank {

/** Resolves the incarnation of an id's home node to an RPC address. Thread-safe.
    @see order_flow
*/
class home_resolver {
public:
    home_resolver() = default;
    home_resolver(const home_resolver&) = delete;
    home_resolver& operator=(const home_resolver&) = delete;
    virtual ~home_resolver() = default;

    /** RPC address of the incarnation, or nothing if it is not known. Never the address of another
        incarnation of the same VM. */
    [[nodiscard]] virtual std::optional<std::string> find(incarnation it) const = 0;
};

} // namespace berylcrank

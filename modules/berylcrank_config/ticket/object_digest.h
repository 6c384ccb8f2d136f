#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <cstdint>

namespace berylcrank {

/** Hash of the canonical form of one object: its kind, then each field in schema order. Texts include their
    length. */
std::uint64_t digest_of(const service_config& service);
std::uint64_t digest_of(const failure_domain_config& domain);
std::uint64_t digest_of(const upstream_config& upstream);
std::uint64_t digest_of_removal(const object_key& key);

} // namespace berylcrank

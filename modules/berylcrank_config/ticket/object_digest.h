#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <cstdint>

namespace berylcrank {

/** Hashes over the canonical form of one object: kind, then each field in schema order, texts with length. */
std::uint64_t digest_of(const service_config& it);
std::uint64_t digest_of(const failure_domain_config& it);
std::uint64_t digest_of(const upstream_config& it);
std::uint64_t digest_of_removal(const object_key& it);

} // namespace berylcrank

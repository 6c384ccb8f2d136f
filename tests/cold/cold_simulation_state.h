#pragma once

#include "tests/cold/cold_simulation.h"

/** @file
    State of the nodes and requests of a cold_simulation, shared by its source files.
*/
namespace berylcrank {

inline const std::string upstream_name = "inventario-1";
inline const std::uint32_t group = group_of(upstream_name);

struct cold_simulation::node {
    struct connection {
        std::uint16_t port{0};
        std::shared_ptr<process> to;
        bool is_busy{false};
    };

    std::size_t vm{0};
    incarnation run;
    bool is_up{true};
    instant paused_until;
    instant isolated_until;   ///< Receives no messages from peers and does not reach the log.
    instant stale_list_until; ///< Its VM list omits a live node.
    millis skew;
    std::unique_ptr<peer_view> view;
    std::unique_ptr<permit_issuer> issuer;
    std::unique_ptr<cold_gate> gate;
    std::unique_ptr<holder_election> election;
    std::size_t applied{0};
    std::optional<instant> log_end_read_at;
    std::array<incarnation, group_count> holders{};
    std::vector<connection> pool;
};

struct cold_simulation::request {
    cold_attempt attempt{upstream_name};
    std::shared_ptr<upstream_job> job;
    std::uint16_t port{0};
    bool is_done{false};
};

} // namespace berylcrank

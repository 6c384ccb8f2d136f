#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Outcome of a ticket at one node. @see node_status */
struct ticket_status {
    std::uint64_t number{0};
    std::uint64_t offset{0};
    std::string outcome; ///< "accepted" or "rejected".
    std::string reason;  ///< Why it was rejected.
};

/** What `GET /status` of one node says. @see read_statuses */
struct node_status {
    std::string address;
    std::string error; ///< Why it could not be read; empty otherwise.
    std::string vm;
    bool is_ready{false};
    std::string reason;
    std::uint64_t applied_offset{0};
    std::string state_digest;
    std::vector<ticket_status> tickets;
};

/** Counts over several nodes. @see summarize */
struct status_summary {
    std::size_t answered{0};
    std::size_t in_force{0}; ///< Nodes that accepted the ticket asked for.
    std::size_t rejected{0};
    std::size_t unseen{0};
    bool is_agreed{true}; ///< All answering nodes have the same state digest.
};

/** Reads the status of each node; a node that cannot be read has `error` set. */
std::vector<node_status> read_statuses(std::span<const std::string> addresses);

/** Counts on how many nodes a ticket is in force. */
status_summary summarize(std::span<const node_status> nodes, std::uint64_t ticket);

} // namespace berylcrank

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Outcome of a ticket on one node. @see node_status */
struct ticket_status {
    std::uint64_t number{0};
    std::uint64_t offset{0}; ///< Log offset of the ticket.
    std::string outcome;     ///< "accepted" or "rejected".
    std::string reason;      ///< Reason for a rejection.
};

/** Content of the response of one node to `GET /status`. @see read_statuses */
struct node_status {
    std::string address;
    std::string error; ///< Reason why the status could not be read; empty on success.
    std::string vm;
    bool is_ready{false};
    std::string reason; ///< Reason why the node is not ready.
    std::uint64_t applied_offset{0};
    std::string state_digest;
    std::vector<ticket_status> tickets;
};

/** Summary of the statuses of several nodes. @see summarize */
struct status_summary {
    std::size_t responded{0}; ///< Nodes whose status was read.
    std::size_t in_force{0};  ///< Nodes that accepted the ticket.
    std::size_t rejected{0};  ///< Nodes that rejected the ticket.
    std::size_t unseen{0};    ///< Nodes that have not processed the ticket.
    bool digests_match{true}; ///< True if all nodes that responded have the same state digest.
};

/** Reads the status of each node, one after the other, with a timeout of 3 s each. If that fails for a node,
    its `error` is set. */
std::vector<node_status> read_statuses(std::span<const std::string> addresses);

/** Counts the outcomes of the ticket with number `ticket` and compares the state digests. */
status_summary summarize(std::span<const node_status> nodes, std::uint64_t ticket);

} // namespace berylcrank

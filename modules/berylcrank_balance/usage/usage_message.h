#pragma once

#include "modules/berylcrank_balance/usage/usage_limits.h"

#include <array>
#include <cstdint>
#include <optional>

namespace berylcrank {

/** Groups of accounts, one bit each. */
using usage_group_set = std::uint16_t;
static_assert(usage_group_count <= 16);

/** Each node's part of the caps of a group is divided into this many portions, which different nodes hold. */
inline constexpr std::size_t usage_portion_count = 2;

/** A node lends its portions of groups of accounts to the receiver, the holder. The loan ends
    `usage_holder::pledge_lifetime` after `stamp` on the holder's clock; a newer pledge of the node replaces
    it. */
struct usage_pledge {
    std::uint64_t holder_run{0}; ///< Incarnation of the holder that issued `stamp`; 0 for no loan.
    std::int64_t stamp{0};       ///< From the holder's last acknowledgement.
    std::uint32_t nodes{0};      ///< Number of nodes among which the sender takes the caps to be divided.
    std::array<usage_group_set, usage_portion_count> groups{};
};

/** Response of a holder to a pledge. */
struct usage_acknowledgement {
    std::int64_t stamp{0};  ///< The holder's clock in microseconds.
    std::uint32_t nodes{0}; ///< Largest number of nodes that the holder has heard of.
    bool stopping{false};   ///< The holder is about to exit.
    /** Incarnation of the node that has sent the pledge. The holder has dropped loans of earlier ones. */
    std::uint64_t owner_run{0};
};

/** A node asks a holder for a token, which allows one run of a request. */
struct usage_request {
    std::uint64_t id{0};
    std::uint64_t account{0};
    usage_limits limits;
    std::uint64_t version{0}; ///< Of the configuration that contains `limits`.
};

/** Response of a holder to a request for a token. */
struct usage_response {
    std::uint64_t id{0};
    bool granted{false};
    bool has_pledges{false}; ///< False if no node has lent the holder a part of the account's cap.
    millis wait;             ///< If not granted: until a token can be expected.
};

/** A message about usage caps between two nodes. Contains one of the optional parts. */
struct usage_message {
    std::uint64_t node{0}; ///< Number of the sender.
    std::uint64_t run{0};  ///< Incarnation of the sender.
    std::optional<usage_pledge> pledge;
    std::optional<usage_acknowledgement> acknowledgement;
    std::optional<usage_request> request;
    std::optional<usage_response> response;
};

/** Sends messages about usage caps to other nodes. Messages may be lost, delayed and reordered. */
class usage_transport {
public:
    usage_transport() = default;
    usage_transport(const usage_transport&) = delete;
    usage_transport& operator=(const usage_transport&) = delete;
    virtual ~usage_transport() = default;

    /** Sends a message to the node with the number `to`. */
    virtual void send(std::uint64_t to, const usage_message& it) = 0;
};

} // namespace berylcrank

#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** How a node of the deployment can be reached. */
struct node_info {
    std::string name;
    std::string ip;
    std::uint16_t gossip_port{0}; ///< UDP for messages, TCP for state.
    std::string front_address;    ///< Where callers connect, "IP:PORT".
    std::string failure_domain;
    std::uint64_t incarnation{0}; ///< Differs from one start to the next.
};

/** Number by which messages name a node. */
std::uint64_t node_number(const node_info& it);

/** Another node, as far as its own messages tell. */
struct peer {
    node_info info;
    std::uint64_t number{0};
    instant added;
    instant heard;          ///< When its last message arrived; the origin if none did.
    bool ready{false};      ///< Accepts callers.
    bool ever_heard{false};
};

/** The nodes of the deployment. A node counts as live while its messages arrive.

    @see node_info
*/
class peer_table {
public:
    /** Silence after which a node no longer counts as live. Messages come every 40 to 100 ms. */
    static constexpr millis silence{700};
    /** Time after which an address that never answered is given up. */
    static constexpr millis unheard{10000};
    /** Time after which a silent node is forgotten. */
    static constexpr millis forgotten{20000};

    explicit peer_table(node_info self) : self_(std::move(self)), self_number_(node_number(self_)) {}

    [[nodiscard]] const node_info& self() const { return self_; }
    [[nodiscard]] std::uint64_t self_number() const { return self_number_; }

    /** Takes an address learnt from the store or another node; returns whether it is new. */
    bool learn(const node_info& it, instant now);

    /** Takes a node's own word about itself. Returns true if it is a new node or a new start. */
    bool heard(const node_info& it, bool ready, instant now);

    /** Takes a sign of life of a known node; false if the number is unknown. */
    bool alive(std::uint64_t number, std::uint64_t incarnation, bool ready, instant now);

    /** Forgets nodes that stay silent; returns the numbers of those that turned silent since the last call. */
    std::vector<std::uint64_t> expire(instant now);

    [[nodiscard]] bool is_live(const peer& it, instant now) const {
        return it.ever_heard && now - it.heard < silence;
    }
    [[nodiscard]] const peer* find(std::uint64_t number) const;
    [[nodiscard]] std::vector<const peer*> live(instant now) const;
    [[nodiscard]] std::vector<const peer*> all() const;

    /** Place of this node among the live ones, ordered by number; 0 is the first. */
    [[nodiscard]] std::size_t rank(instant now) const;

    /** Whether this node is the one of the live nodes that answers for `key` (rendezvous hashing). Nodes that
        are not ready take no part. */
    [[nodiscard]] bool owns(std::uint64_t key, instant now) const;

    /** Largest number of nodes seen live at once, this one included. */
    [[nodiscard]] std::size_t most_seen() const { return most_seen_; }

private:
    node_info self_;
    std::uint64_t self_number_;
    absl::flat_hash_map<std::uint64_t, peer> peers_;
    absl::flat_hash_map<std::uint64_t, bool> was_live_;
    std::size_t most_seen_{1};
};

} // namespace berylcrank

#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
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
    std::uint64_t incarnation{0}; ///< Differs from one start to the next; larger is later.
    std::uint32_t capacity{0};    ///< Thousandths of a core; duties go to larger nodes first.
};

/** Number by which messages name a node. */
std::uint64_t node_number(const node_info& it);

/** A group of nodes that share fresh knowledge of the same upstreams. */
struct cell {
    std::string failure_domain; ///< Empty if one cell holds all nodes.
    std::uint32_t index{0};     ///< Among the cells of the failure domain.

    bool operator==(const cell&) const = default;
};

/** How closely a node follows another. */
enum class peer_relation : std::uint8_t {
    same_cell,   ///< Messages with loads, many a second.
    same_domain, ///< Regular greetings.
    distant,     ///< Rosters that some nodes pass on.
};

/** What a roster says of a node. */
struct roster_entry {
    std::uint64_t number{0};
    std::uint64_t incarnation{0};
    std::uint32_t beat{0}; ///< Grows while the node runs.
    bool ready{false};
    bool blind{false}; ///< Cannot read the store.
};

/** Another node, as far as messages tell. */
struct peer {
    node_info info;
    std::uint64_t number{0};
    instant added;
    instant heard; ///< When news of it arrived last, of its own or in a roster.
    std::uint32_t beat{0};
    bool ready{false}; ///< Accepts callers.
    bool blind{false}; ///< Cannot read the store.
    bool ever_heard{false};
    peer_relation relation{peer_relation::distant}; ///< Kept by the table that holds it.
};

/** The nodes of the deployment and their grouping into cells.

    A small deployment is one cell, in which every node hears every other. A large one has cells of about
    `cell_size` nodes in each failure domain, so that the messages a node sends and receives do not grow with
   the deployment; news of distant nodes comes in rosters.
    @see node_info, upstream_subset
*/
class peer_table {
public:
    /** Nodes up to which all are one cell. */
    static constexpr std::size_t single_cell_limit = 24;
    /** Nodes of a cell in a large deployment, about. */
    static constexpr std::size_t cell_size = 14;
    /** Silence after which a node no longer counts as live. Messages in a cell come every 50 to 100 ms,
       greetings in a failure domain every 500 ms, rosters take some 700 ms a hop and six hops. */
    static constexpr millis silence_in_cell{700};
    static constexpr millis silence_in_domain{1700};
    static constexpr millis silence_distant{9000};
    /** Time after which an address that never answered is given up. */
    static constexpr millis unheard{10000};
    /** Time after which a silent node is forgotten. */
    static constexpr millis forgotten{20000};

    explicit peer_table(node_info self);

    [[nodiscard]] const node_info& self() const { return self_; }
    [[nodiscard]] std::uint64_t self_number() const { return self_number_; }

    /** Takes an address learnt from the store or another node; returns whether it is new. */
    bool learn(const node_info& it, instant now);

    /** Takes a node's own word about itself. Returns true if it is a new node or a new start. */
    bool on_hello(const node_info& it, const roster_entry& state, instant now);

    /** Takes a sign of life of a known node; false if the number or the start is unknown. */
    bool on_heartbeat(const roster_entry& it, instant now);

    /** Takes a roster that another node passed on; only news counts. */
    void merge_roster(const std::vector<roster_entry>& roster, instant now);

    /** What this node knows of all live nodes but itself. */
    [[nodiscard]] std::vector<roster_entry> roster(instant now) const;

    /** Forgets nodes that stay silent; returns the numbers of those that turned silent since the last call.
     */
    std::vector<std::uint64_t> expire(instant now);

    [[nodiscard]] static peer_relation relation(const peer& it) { return it.relation; }
    [[nodiscard]] static bool is_live(const peer& it, instant now);
    [[nodiscard]] const peer* find(std::uint64_t number) const;
    [[nodiscard]] std::vector<const peer*> live(instant now) const;
    [[nodiscard]] std::vector<const peer*> all() const;

    /** Whether the deployment has more than one cell. */
    [[nodiscard]] bool has_multiple_cells() const { return peers_.size() + 1 > single_cell_limit; }
    /** The cell of this node. */
    [[nodiscard]] const cell& own_cell() const { return own_cell_; }
    /** The cell that answers for an upstream in a failure domain. */
    [[nodiscard]] cell home_cell(std::uint32_t upstream, const std::string& failure_domain) const;
    /** Whether that is the cell of this node. */
    [[nodiscard]] bool is_home_cell(std::uint32_t upstream, const std::string& failure_domain) const;
    /** Number of cells. */
    [[nodiscard]] std::size_t cell_count() const;

    /** Other nodes of the cell whose addresses are known. */
    [[nodiscard]] std::size_t cell_peer_count() const;
    /** Place of this node among the live ones that can read the store, or among all live ones if it cannot
       itself; largest capacity first; 0 is the first. */
    [[nodiscard]] std::size_t reader_rank(bool blind, instant now) const;
    /** The same among all known nodes, whether they were heard or not: for a node that has just started. */
    [[nodiscard]] std::size_t rank_among_known() const;
    /** The same among the live nodes of its cell. */
    [[nodiscard]] std::size_t rank_in_cell(instant now) const;

    /** Whether this node is the one of the live, ready nodes of its cell that answers for `key` (rendezvous
        hashing). */
    [[nodiscard]] bool owns(std::uint64_t key, instant now) const;

    /** Largest number of nodes seen live at once, this one included. */
    [[nodiscard]] std::size_t max_live_count() const { return max_live_count_; }

private:
    [[nodiscard]] cell cell_of(const node_info& it, std::uint64_t number) const;
    [[nodiscard]] std::uint32_t cells_in(const std::string& failure_domain) const;
    [[nodiscard]] bool precedes(const peer& it) const;
    void regroup();

    node_info self_;
    std::uint64_t self_number_;
    absl::flat_hash_map<std::uint64_t, peer> peers_;
    absl::flat_hash_set<std::uint64_t> was_live_;
    absl::flat_hash_map<std::string, std::size_t> nodes_in_; // by failure domain, this one included
    std::vector<std::uint64_t> in_cell_;                     // numbers of the other nodes of this node's cell
    cell own_cell_;
    std::size_t max_live_count_{1};
};

} // namespace berylcrank

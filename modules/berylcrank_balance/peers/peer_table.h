#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Address and properties of a node of the deployment. */
struct node_info {
    std::string name;
    std::string ip;
    std::uint16_t gossip_port{0}; ///< UDP for messages, TCP for state transfer.
    std::string front_address;    ///< Address for callers, "IP:PORT".
    std::string failure_domain;
    std::uint64_t incarnation{0}; ///< Identifies a start of the node; increases with each start.
    std::uint32_t capacity{0};    ///< CPU capacity in thousandths of a core; duties go to larger nodes first.
    bool registered{false};       ///< The store's list of nodes contains it.
};

/** Hash of a node's name and IP address, which identifies the node in messages. */
std::uint64_t node_number(const node_info& it);

/** A group of nodes that exchange the load of the same upstreams. */
struct cell {
    std::string failure_domain; ///< Empty if one cell holds all nodes.
    std::uint32_t index{0};     ///< Index among the cells of the failure domain.

    bool operator==(const cell&) const = default;
};

/** How often a node exchanges messages with another. */
enum class peer_relation : std::uint8_t {
    same_cell,   ///< Load messages, many per second.
    same_domain, ///< Regular hello messages.
    distant,     ///< Rosters that some nodes forward.
};

/** State of one node in a roster, the gossiped list of live nodes. */
struct roster_entry {
    std::uint64_t number{0};
    std::uint64_t incarnation{0};
    std::uint32_t beat{0}; ///< Heartbeat counter, which increases while the node runs.
    bool ready{false};     ///< Accepts callers.
    bool blind{false};     ///< Cannot read the store.
};

/** State of another node, as known from messages. */
struct peer {
    node_info info;
    std::uint64_t number{0};
    instant added;                                  ///< Time at which its address became known.
    instant last_heartbeat;                         ///< Last update, from the node itself or from a roster.
    std::uint32_t beat{0};                          ///< Last heartbeat counter.
    bool ready{false};                              ///< Accepts callers.
    bool blind{false};                              ///< Cannot read the store.
    instant admits_until;                           ///< It may admit to cold upstreams until then.
    bool has_heartbeat{false};                      ///< At least one heartbeat has arrived.
    peer_relation relation{peer_relation::distant}; ///< Maintained by peer_table.
};

/** The nodes of the deployment, their grouping into cells, and failure detection.

    A small deployment is one cell, in which every node receives messages from every other. A large one has
    cells of about `cell_size` nodes in each failure domain, so that the message rate of a node does not grow
    with the deployment. The state of distant nodes arrives in rosters.
    @see node_info, upstream_subset
*/
class peer_table {
public:
    /** Largest number of nodes in a deployment of one cell. */
    static constexpr std::size_t single_cell_limit = 24;
    /** Approximate number of nodes per cell in a large deployment. */
    static constexpr std::size_t cell_size = 14;
    /** Time without a heartbeat after which a node of the same cell is not live. Messages arrive every 50 to
        100 ms. */
    static constexpr millis cell_timeout{700};
    /** The same for a node of another cell in the same failure domain. Hello messages arrive every 500 ms. */
    static constexpr millis domain_timeout{1700};
    /** The same for a distant node. Rosters take six hops of about 700 ms each, and contain a part of the
        nodes. */
    static constexpr millis distant_timeout{12000};
    /** Nodes that every roster contains, of which one reads the store for all. */
    static constexpr std::size_t roster_readers = 24;
    /** Other nodes in a roster. */
    static constexpr std::size_t roster_others = 96;
    /** Time after which an address that never sent a heartbeat is removed. */
    static constexpr millis join_timeout{10000};
    /** Time between the end of one node's admission to cold upstreams and the start of another's, so that no
        second contains requests of both. With `cell_timeout`, it is longer than a pause that the paused node
        does not notice (1.5 s). */
    static constexpr millis handover_time{1150};
    /** Time without a heartbeat after which a node is removed. */
    static constexpr millis removal_timeout{20000};
    /** Largest number of unknown nodes or starts whose heartbeats count for admits(). Bounds the memory that
        foreign datagrams can use. */
    static constexpr std::size_t max_unidentified = 256;

    explicit peer_table(node_info self);

    /** Returns the address and properties of this node. */
    [[nodiscard]] const node_info& self() const { return self_; }
    [[nodiscard]] std::uint64_t self_number() const { return self_number_; }

    /** Sets whether this node is ready: it can route requests and is not stopping. */
    void set_ready(bool ready, instant now);

    /** Adds a node whose address comes from the store or from another node; returns whether it is new. */
    bool learn(const node_info& it, instant now);

    /** Handles a hello message, in which a node sends its own address and state. Returns whether it is the
        first message from the node or from this start of it. */
    bool on_hello(const node_info& it, const roster_entry& state, instant now);

    /** Handles a heartbeat of a known node. Returns false if number or incarnation is unknown; the sender
       then counts for admits() only. */
    bool on_heartbeat(const roster_entry& it, instant now);

    /** Merges a roster that another node forwarded. Only entries with a higher heartbeat counter or
        incarnation have an effect. Returns whether it contains a node that is not known. */
    bool merge_roster(const std::vector<roster_entry>& roster, instant now);

    /** Returns the state of live nodes except this one, for a message to a node of this failure domain
        (`local`) or of another. It contains the first `roster_readers` nodes in the order of reader_rank and
        a random choice of `roster_others` more, so that the size of a message does not grow with the
        deployment. Nodes of the same failure domain exchange hellos and are left out of that choice for a
        local message. */
    [[nodiscard]] std::vector<roster_entry> roster(bool local, random_source& random, instant now) const;

    /** Sets whether the store's list of nodes contains this node. */
    void set_registered(bool it) { self_.registered = it; }
    /** Returns the number of other live nodes that the store's list contains. */
    [[nodiscard]] std::size_t registered_count(instant now) const;
    /** Returns the rank of this node among the live nodes that the store's list does not contain. */
    [[nodiscard]] std::size_t unregistered_rank(instant now) const;

    /** Removes nodes without a heartbeat for `removal_timeout`, or `join_timeout` if there never was one.
        Returns the numbers of nodes that stopped being live since the last call. */
    std::vector<std::uint64_t> expire(instant now);

    [[nodiscard]] static peer_relation relation(const peer& it) { return it.relation; }
    /** Returns whether the last heartbeat of a node is within the timeout of its relation. */
    [[nodiscard]] static bool is_live(const peer& it, instant now);
    /** Returns the node with that number; null if it is unknown. */
    [[nodiscard]] const peer* find(std::uint64_t number) const;
    /** Returns whether any other node is live. */
    [[nodiscard]] bool has_live(instant now) const;
    /** Returns the live nodes except this one. */
    [[nodiscard]] std::vector<const peer*> live(instant now) const;
    /** Returns all known nodes except this one. */
    [[nodiscard]] std::vector<const peer*> all() const;

    /** Returns whether the deployment has more than one cell. */
    [[nodiscard]] bool has_multiple_cells() const { return peers_.size() + 1 > single_cell_limit; }
    /** Returns the cell of this node. */
    [[nodiscard]] const cell& own_cell() const { return own_cell_; }
    /** Returns the cell that is responsible for an upstream in a failure domain. */
    [[nodiscard]] cell home_cell(std::uint32_t upstream, const std::string& failure_domain) const;
    /** Returns whether that is the cell of this node. */
    [[nodiscard]] bool is_home_cell(std::uint32_t upstream, const std::string& failure_domain) const;
    /** Returns the number of cells in the deployment. */
    [[nodiscard]] std::size_t cell_count() const;

    /** Returns the number of other nodes of the cell whose addresses are known. */
    [[nodiscard]] std::size_t cell_peer_count() const;
    /** Returns the rank of this node among the live nodes that can read the store, largest capacity first; 0
        is the first. If this node cannot read the store (`blind`), the nodes that can come before it. */
    [[nodiscard]] std::size_t reader_rank(bool blind, instant now) const;
    /** Returns the rank among all known nodes, whether live or not; used by a node that has just started. */
    [[nodiscard]] std::size_t rank_among_known() const;
    /** Returns the rank among the live nodes of the cell. */
    [[nodiscard]] std::size_t rank_in_cell(instant now) const;

    /** Returns whether this node is responsible for `key`, by rendezvous hashing over the live, ready nodes
        of its cell. */
    [[nodiscard]] bool owns(std::uint64_t key, instant now) const;

    /** Returns whether this node may admit requests to the cold upstream `key`. It must be ready for at least
        `handover_time`, and no node that precedes it in the order of owns() may have admitted in that time.
        This includes nodes that are known only by heartbeats, because their hellos were lost. */
    [[nodiscard]] bool admits(std::uint64_t key, instant now) const;

    /** Returns the largest number of nodes that were known at once, including this one. Not all of a large
        deployment are heard at any moment. */
    [[nodiscard]] std::size_t max_known_count() const { return max_known_count_; }

private:
    [[nodiscard]] cell cell_of(const node_info& it, std::uint64_t number) const;
    [[nodiscard]] std::uint32_t cell_count_in(const std::string& failure_domain) const;
    [[nodiscard]] bool precedes(const peer& it) const;
    void rebuild_cells();
    void on_unidentified(const roster_entry& it, instant now);

    node_info self_;
    std::uint64_t self_number_;
    bool ready_{false};
    instant ready_since_;
    absl::flat_hash_map<std::uint64_t, peer> peers_;
    absl::flat_hash_map<std::uint64_t, instant> unidentified_; // value of admits_until by number
    absl::flat_hash_set<std::uint64_t> was_live_;
    absl::flat_hash_map<std::string, std::size_t> node_counts_; // by failure domain, including this node
    std::vector<std::uint64_t> cell_peers_; // numbers of the other nodes of this node's cell
    cell own_cell_;
    std::size_t max_known_count_{1};
};

} // namespace berylcrank

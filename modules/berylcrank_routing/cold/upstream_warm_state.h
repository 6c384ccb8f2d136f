#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_membership/message/gossip_message.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** What one node knows about the warmth of one upstream and about its own connections to it. Not thread-safe;
    guarded by its `cold_gate`.

    Warmth belongs to an incarnation and a connection to the incarnation that its last answer named, so
   nothing learned about one process is used for another.
*/
class upstream_warm_state {
public:
    /** True if a verified connection is idle and not yet planned for another attempt. */
    [[nodiscard]] bool has_idle_verified() const;

    /** Counts an attempt that expects a verified connection, or ends that expectation. */
    void plan() { ++planned_; }
    void end_plan() { planned_ -= planned_ > 0 ? 1 : 0; }

    /** Names a connection: a port is used again by later connections, a serial is not. */
    struct link {
        std::uint16_t port{0};
        std::uint64_t serial{0};
    };

    /** Takes that an attempt is about to use `port`. A new connection replaces what was known of the port. */
    link open(std::uint16_t port, bool is_new, bool was_planned);

    /** True if the connection is verified. */
    [[nodiscard]] bool is_verified(const link& at) const;

    /** Marks the connection as in use, or as idle. */
    void set_busy(const link& at, bool is_busy);

    /** Takes the incarnation named by an answer on the connection. */
    void name(const link& at, std::string_view upstream_incarnation, bool reported_cold);

    /** Takes that the connection is closed. */
    void close(const link& at);

    /** Takes a statement of the current permit holder. @return True if it is newer than what was known. */
    bool take(const warm_news& it, instant now);

    /** True if the incarnation is known warm and its last answer here did not report it cold. */
    [[nodiscard]] bool is_warm(std::string_view upstream_incarnation) const;

    /** The newest statement of a holder, for relaying; nothing if there is none. */
    [[nodiscard]] std::optional<warm_news> news() const;

    /** When `news` was received. */
    [[nodiscard]] instant news_at() const { return news_at_; }

    /** Incarnations that are known warm. */
    [[nodiscard]] std::vector<std::string> warm_incarnations() const;

    /** Verified connections. */
    [[nodiscard]] std::size_t verified() const;

private:
    struct connection {
        std::uint64_t serial{0};
        std::string named; // Empty until an answer named an incarnation.
        bool is_busy{false};
        bool is_doubtful{false}; // The pool opened another connection although this one seemed idle.
        bool is_mixed{false};    // Answers named several incarnations: not bound to one process.
    };
    struct fact {
        std::string upstream_incarnation;
        bool warm{false};          // By the holder's news.
        bool reported_cold{false}; // By the last answer seen here.
        std::uint64_t sequence{0};
        incarnation holder;
    };

    [[nodiscard]] const fact* find(std::string_view upstream_incarnation) const;
    fact& find_or_add(std::string_view upstream_incarnation);
    [[nodiscard]] bool is_bound_to_warm(const connection& it) const;
    connection* find(const link& at);

    absl::flat_hash_map<std::uint16_t, connection> connections_; // By local port.
    std::vector<fact> facts_;
    std::string latest_; // Incarnation named last; its fact is never evicted.
    std::optional<warm_news> news_;
    instant news_at_;
    std::size_t planned_{0};
    std::uint64_t last_serial_{0};
};

} // namespace berylcrank

#pragma once

#include "modules/berylcrank_balance/usage/usage_client.h"

namespace berylcrank {

/** The usage caps of accounts at one node: lends the node's part of the caps, holds parts of other nodes, and
    requests tokens for the node's own requests. See docs/design/usage-caps.md.

    @see usage_owner, usage_holder, usage_client
*/
class usage_caps {
public:
    struct options {
        std::uint64_t self{0}; ///< Number of this node.
        std::uint64_t run{0};  ///< Incarnation of this node; increases with each start.
        usage_tolerance tolerance;
        std::uint64_t first_request_id{0}; ///< Random, so that starts of the node use different ids.
        instant start;
    };

    explicit usage_caps(const options& opts)
        : holder_(opts.run, opts.tolerance), owner_(opts.self, opts.run, holder_, opts.start),
          client_(opts.self, opts.run, opts.tolerance, owner_, holder_, opts.first_request_id),
          self_(opts.self), run_(opts.run) {}
    usage_caps(const usage_caps&) = delete;
    usage_caps& operator=(const usage_caps&) = delete;
    ~usage_caps() = default;

    /** Sets the nodes that may hold caps, and the largest number of nodes known. @see usage_owner */
    void set_nodes(std::span<const std::uint64_t> candidates, std::size_t known);

    /** Runs the periodic work. */
    void tick(usage_transport& transport, instant now);

    /** Handles a message of another node. */
    void on_message(const usage_message& it, usage_transport& transport, instant now);

    /** Makes the other nodes use other holders, because this node is about to exit. */
    void stop() { stopping_ = true; }

    /** Requests a token for one run of a request. @see usage_client::request */
    void request(std::uint64_t account, const usage_limits& limits, std::uint64_t version, millis patience,
                 usage_client::callback done, usage_transport& transport, instant now) {
        client_.request(account, limits, version, patience, std::move(done), transport, now);
    }

    [[nodiscard]] const usage_client& client() const { return client_; }
    [[nodiscard]] const usage_holder& holder() const { return holder_; }
    [[nodiscard]] const usage_owner& owner() const { return owner_; }

private:
    usage_holder holder_;
    usage_owner owner_;
    usage_client client_;
    std::uint64_t self_;
    std::uint64_t run_;
    bool stopping_{false};
};

} // namespace berylcrank

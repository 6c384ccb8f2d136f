#include "modules/berylcrank_http/client/client_shard.h"
#include "modules/berylcrank_http/client/upstream_client.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** Implements upstream_client with one client_shard per event loop. @see client_shard */
class curl_upstream_client final : public upstream_client {
public:
    explicit curl_upstream_client(const options& opts)
        : loops_(opts.loops ? opts.loops : std::make_shared<loop_group>(opts.threads)) {
        static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
        static_cast<void>(started);
        auto shard = opts;
        const auto loops = static_cast<unsigned>(loops_->size());
        shard.connections_per_upstream = std::max(1U, (opts.connections_per_upstream + loops - 1) / loops);
        for (unsigned n = 0; n < loops; ++n) {
            shards_.push_back(std::make_shared<client_shard>(shard, loops_->at(n)));
            shards_.back()->open();
        }
    }

    ~curl_upstream_client() override {
        for (const auto& shard : shards_) {
            shard->close();
        }
    }

    curl_upstream_client(const curl_upstream_client&) = delete;
    curl_upstream_client& operator=(const curl_upstream_client&) = delete;

    std::shared_ptr<upstream_call> start(upstream_request request,
                                         std::shared_ptr<upstream_observer> observer) override {
        const auto& shard = shard_for(request.upstream);
        auto call = std::make_shared<curl_call>(shard, std::move(request), observer);
        if (!shard->post(client_shard::command::start, call)) {
            observer->on_done({.end = attempt_end::cancelled, .verdict = run_verdict::not_run});
        }
        return call;
    }

private:
    const std::shared_ptr<client_shard>& shard_for(const std::string& upstream) const {
        const auto* const loop = event_loop::current();
        const auto own_shard =
            std::ranges::find_if(shards_, [&](const auto& shard) { return &shard->loop() == loop; });
        return own_shard != shards_.end() ? *own_shard : shards_[absl::HashOf(upstream) % shards_.size()];
    }

    std::shared_ptr<loop_group> loops_;
    std::vector<std::shared_ptr<client_shard>> shards_;
};

} // namespace

std::unique_ptr<upstream_client> make_upstream_client(const upstream_client::options& opts) {
    return std::make_unique<curl_upstream_client>(opts);
}

} // namespace berylcrank

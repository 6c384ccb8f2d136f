#include "modules/berylcrank_http/client/client_shard.h"
#include "modules/berylcrank_http/client/upstream_client.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** The client on a fixed number of libcurl threads. @see client_shard */
class curl_upstream_client final : public upstream_client {
public:
    explicit curl_upstream_client(const options& it) {
        static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
        static_cast<void>(started);
        for (unsigned n = 0; n < std::max(1U, it.threads); ++n) {
            shards_.push_back(std::make_shared<client_shard>(it));
            shards_.back()->open();
        }
    }

    ~curl_upstream_client() override {
        for (const auto& it : shards_) {
            it->close();
        }
    }

    curl_upstream_client(const curl_upstream_client&) = delete;
    curl_upstream_client& operator=(const curl_upstream_client&) = delete;

    std::shared_ptr<upstream_call> start(upstream_request request,
                                         std::shared_ptr<upstream_observer> observer) override {
        const auto& shard = shards_[absl::HashOf(request.upstream) % shards_.size()];
        auto call = std::make_shared<curl_call>(shard, std::move(request), observer);
        if (!shard->post(client_shard::command::start, call)) {
            observer->on_done({.end = attempt_end::cancelled, .verdict = run_verdict::not_run});
        }
        return call;
    }

private:
    std::vector<std::shared_ptr<client_shard>> shards_;
};

} // namespace

std::unique_ptr<upstream_client> make_upstream_client(const upstream_client::options& it) {
    return std::make_unique<curl_upstream_client>(it);
}

} // namespace berylcrank

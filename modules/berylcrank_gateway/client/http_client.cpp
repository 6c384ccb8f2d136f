#include "modules/berylcrank_gateway/client/http_client.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace berylcrank {

class http_client::pending_call final : public response_sink {
public:
    pending_call(connection_pool& pool, std::string address, client_connection_ptr connection,
                 instant deadline, std::size_t max_body, handler done)
        : pool_(pool), address_(std::move(address)), connection_(std::move(connection)), deadline_(deadline),
          max_body_(max_body), done_(std::move(done)) {}

    void start(std::string request) { connection_->call(std::move(request), *this); }

    head_action on_head(const response_head& head) override {
        result_.head = head;
        return head_action::accept;
    }

    void on_body(std::string_view bytes) override {
        result_.body.append(bytes);
        if (result_.body.size() > max_body_) {
            connection_->cancel();
            on_failed(call_failure::garbled);
        }
    }

    void on_done(bool reusable) override {
        if (reusable) {
            pool_.release(address_, connection_);
        }
        result_.has_response = true;
        result_.connected_at = connection_->connected_at();
        finish();
    }

    void on_failed(call_failure reason) override {
        result_.failure = reason;
        finish();
    }

    void check_timeouts(instant now) {
        if (!finished_ && now >= deadline_) {
            result_.timed_out = true;
            const auto reason =
                connection_->connected() ? call_failure::no_response : call_failure::not_connected;
            connection_->cancel();
            on_failed(reason);
        }
    }

    [[nodiscard]] bool finished() const { return finished_; }

private:
    void finish() {
        if (finished_) {
            return;
        }
        finished_ = true;
        const auto done = std::move(done_);
        done(result_);
    }

    connection_pool& pool_;
    std::string address_;
    client_connection_ptr connection_;
    instant deadline_;
    std::size_t max_body_;
    handler done_;
    call_result result_;
    bool finished_{false};
};

void http_client::call(const call_request& request, millis timeout, handler done) {
    auto it = std::make_shared<pending_call>(
        pool_, request.address,
        pool_.acquire(request.address, request.address, connection_pool::max_idle_timeout),
        time_.now() + timeout, max_body_, std::move(done));
    pending_.push_back(it);
    it->start(serialize(request));
}

void http_client::check_timeouts(instant now) {
    for (std::size_t i = 0; i < pending_.size(); ++i) {
        const auto it = pending_[i];
        it->check_timeouts(now);
    }
    std::erase_if(pending_, [](const auto& it) { return it->finished(); });
    if (now >= next_expiry_) {
        next_expiry_ = now + expiry_interval;
        pool_.expire();
    }
}

std::string serialize(const call_request& it) {
    std::string text = absl::StrCat(it.method, " ", it.target, " HTTP/1.1\r\n");
    if (find_header(it.headers, "Host") == nullptr) {
        absl::StrAppend(&text, "Host: ", it.address, "\r\n");
    }
    for (const auto& [name, value] : it.headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    if (!it.body.empty() || it.method == "POST") {
        absl::StrAppend(&text, "Content-Length: ", it.body.size(), "\r\n");
    }
    return absl::StrCat(text, "\r\n", it.body);
}

} // namespace berylcrank

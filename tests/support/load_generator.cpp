#include "tests/support/load_generator.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <utility>

namespace berylcrank::testing {

namespace {

constexpr std::size_t max_failure_bytes = 2000;
constexpr int max_retries = 2;

std::string describe(const test_response& response) {
    return std::string(response.is_connected ? "" : "not connected ") +
           (response.is_complete ? "complete " : "incomplete ") + std::to_string(response.status) + " " +
           response.verdict() + " " + response.body.substr(0, 120);
}

} // namespace

int load_result::orders_ending(const std::string& verdict) const {
    return static_cast<int>(std::ranges::count_if(orders, [&](const order& entry) {
        return !entry.verdicts.empty() && entry.verdicts.back() == verdict;
    }));
}

/** The caller that one thread simulates. */
struct load_generator::caller {
    load_generator& owner;
    int number;
    std::vector<std::string> addresses;
    std::chrono::steady_clock::time_point addresses_expire_at;
    std::size_t next_index{0};
    std::map<std::string, std::string> prefixes; ///< Last received id prefix of each node.
    std::uint64_t next_number{1};

    /** Returns the cached addresses and refreshes them when they have expired. */
    const std::vector<std::string>& current_addresses() {
        const auto now = std::chrono::steady_clock::now();
        if (now < addresses_expire_at && !addresses.empty()) {
            return addresses;
        }
        auto candidates = addresses;
        candidates.insert(candidates.end(), owner.options_.nodes.begin(), owner.options_.nodes.end());
        for (const auto& address : candidates) {
            const auto response = send({.address = address, .path = "/address", .timeout_ms = 1000});
            if (response.is_complete && response.status == 200) {
                const auto json = nlohmann::json::parse(response.body);
                addresses = json.at("addresses").get<std::vector<std::string>>();
                addresses_expire_at = now + std::chrono::milliseconds(json.at("keep_ms").get<int>());
                break;
            }
        }
        return addresses;
    }

    /** Sends a request to the addresses in turn until one accepts the connection. */
    test_response send_to_any(test_request request) {
        const auto list = current_addresses();
        test_response response;
        for (std::size_t n = 0; n < std::max<std::size_t>(list.size(), 1) && !response.is_connected; ++n) {
            request.address = list.empty() ? owner.options_.nodes.front() : list[next_index++ % list.size()];
            response = send(request);
        }
        return response;
    }

    void run_lookup() {
        const auto path = "/s/" + owner.options_.lookup_service + "/item/" + std::to_string(number) + "-" +
                          std::to_string(next_number++);
        const auto response = send_to_any({.path = path, .timeout_ms = owner.options_.timeout_ms});
        const bool is_good = response.is_complete && response.status == 200;
        const bool is_own_response =
            response.body.find(path.substr(path.find("/item/"))) != std::string::npos;
        const lock_guard hold(owner.mutex_);
        ++owner.result_.lookups;
        owner.result_.lookups_failed += is_good ? 0 : 1;
        owner.result_.wrong_responses += is_good && !is_own_response ? 1 : 0;
        record_failure(is_good && is_own_response, "lookup " + describe(response));
    }

    void run_download() {
        const auto seed = number + 1;
        const auto path = "/s/" + owner.options_.download_service + "/blob/" +
                          std::to_string(owner.options_.download_bytes) + "/" + std::to_string(seed);
        const auto response = send_to_any({.path = path, .timeout_ms = 20000});
        const bool is_good = response.is_complete && response.status == 200;
        auto& wanted = blobs[path];
        if (wanted.empty() && is_good) {
            wanted = response.body;
        }
        const lock_guard hold(owner.mutex_);
        ++owner.result_.downloads;
        owner.result_.downloads_failed += is_good ? 0 : 1;
        owner.result_.wrong_responses += is_good && response.body != wanted ? 1 : 0;
        record_failure(is_good, "download " + describe(response));
    }

    /** Returns the next node that has an id prefix, to which the first copy of an order is sent. */
    std::string find_home_node() {
        const auto list = current_addresses();
        for (std::size_t n = 0; n < list.size(); ++n) {
            const auto& address = list[next_index++ % list.size()];
            if (prefixes.contains(address)) {
                return address;
            }
            const auto response = send({.address = address, .path = "/address", .timeout_ms = 1000});
            if (response.is_complete && response.status == 200) {
                prefixes[address] = nlohmann::json::parse(response.body).at("id_prefix").get<std::string>();
                return address;
            }
        }
        return {};
    }

    void run_order() {
        const auto node = find_home_node();
        if (node.empty()) {
            return;
        }
        load_result::order sent{
            .id = prefixes[node] + "." +
                  std::to_string(static_cast<std::uint64_t>(number) << 32U | next_number++)};
        const auto body = "order " + sent.id;
        auto response =
            send_order(node, owner.options_.order_service, sent.id, body, owner.options_.timeout_ms);
        record_response(sent, body, node, response);
        if (!response.is_connected) {
            prefixes.erase(
                node); // The connection was refused; the next order uses the prefix of another node.
        }
        for (int n = 0; n < max_retries && has_unknown_outcome(response); ++n) {
            const auto list = current_addresses();
            const auto other = list[next_index++ % list.size()];
            response =
                send_order(other, owner.options_.order_service, sent.id, body, owner.options_.timeout_ms);
            record_response(sent, body, other, response);
        }
        const lock_guard hold(owner.mutex_);
        std::string history;
        for (const auto& verdict : sent.verdicts) {
            history += verdict + " ";
        }
        record_failure(sent.verdicts.back() == "ran",
                       "order " + sent.id + " " + history + describe(response));
        owner.result_.orders.push_back(std::move(sent));
    }

    static bool has_unknown_outcome(const test_response& response) {
        return response.is_connected && (!response.is_complete || response.verdict() == "may-have-run");
    }

    void record_response(load_result::order& sent, const std::string& body, const std::string& node,
                         const test_response& response) {
        const auto verdict = response.verdict();
        sent.verdicts.push_back(!response.is_connected ? "not-sent" : verdict.empty() ? "none" : verdict);
        sent.is_response_correct =
            sent.is_response_correct && (verdict != "ran" || response.status != 200 || response.body == body);
        if (const auto prefix = response.header("Berylcrank-Id-Prefix"); !prefix.empty()) {
            prefixes[node] = prefix;
        }
    }

    void record_failure(bool is_good, const std::string& text) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(owner.mutex_) {
        if (!is_good && owner.result_.failures.size() < max_failure_bytes) {
            owner.result_.failures += text + "\n";
        }
    }

    std::map<std::string, std::string> blobs; ///< First response body of each download, by path.
};

load_generator::load_generator(options opts) : options_(std::move(opts)) {
    for (int n = 0; n < options_.threads; ++n) {
        threads_.emplace_back([this, n] { run(n); });
    }
}

load_generator::~load_generator() {
    stop();
}

void load_generator::wait_for_requests(int n, int timeout_ms) const {
    const int target = completed() + n;
    wait_until(
        std::to_string(n) + " more requests", [&] { return completed() >= target; }, timeout_ms);
}

load_result load_generator::stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    const lock_guard hold(mutex_);
    return result_;
}

void load_generator::run(int number) {
    caller simulated{.owner = *this, .number = number};
    for (int n = number; !stopping_; ++n) {
        if (n % 3 == 0 && !options_.order_service.empty()) {
            simulated.run_order();
        } else if (n % 3 == 1 && !options_.download_service.empty()) {
            simulated.run_download();
        } else if (!options_.lookup_service.empty()) {
            simulated.run_lookup();
        }
        ++completed_;
        poll(nullptr, 0, options_.pause_ms); // Paces the load; does not wait for an event.
    }
}

} // namespace berylcrank::testing

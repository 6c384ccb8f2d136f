#include "tests/support/load_generator.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <utility>

namespace berylcrank::testing {

namespace {

constexpr std::size_t most_failure_bytes = 2000;
constexpr int most_resends = 2;

std::string describe(const test_answer& it) {
    return std::string(it.is_connected ? "" : "not connected ") + (it.is_whole ? "whole " : "cut off ") +
           std::to_string(it.status) + " " + it.verdict() + " " + it.body.substr(0, 120);
}

} // namespace

int load_result::orders_ending(const std::string& verdict) const {
    return static_cast<int>(std::ranges::count_if(
        orders, [&](const order& it) { return !it.verdicts.empty() && it.verdicts.back() == verdict; }));
}

/** One thread's caller. */
struct load_caller::worker {
    load_caller& owner;
    int number;
    std::vector<std::string> addresses;
    std::chrono::steady_clock::time_point keep_until;
    std::size_t turn{0};
    std::map<std::string, std::string> prefixes; ///< By node, from its last answer.
    std::uint64_t next_number{1};

    /** The addresses in use; asks for new ones when the kept answer has run out. */
    const std::vector<std::string>& current() {
        const auto now = std::chrono::steady_clock::now();
        if (now < keep_until && !addresses.empty()) {
            return addresses;
        }
        auto asked = addresses;
        asked.insert(asked.end(), owner.options_.nodes.begin(), owner.options_.nodes.end());
        for (const auto& it : asked) {
            const auto answer = send({.address = it, .path = "/address", .timeout_ms = 1000});
            if (answer.is_whole && answer.status == 200) {
                const auto json = nlohmann::json::parse(answer.body);
                addresses = json.at("addresses").get<std::vector<std::string>>();
                keep_until = now + std::chrono::milliseconds(json.at("keep_ms").get<int>());
                break;
            }
        }
        return addresses;
    }

    /** Sends to the addresses in turn until one accepts the connection. */
    test_answer send_anywhere(test_request it) {
        const auto list = current();
        test_answer answer;
        for (std::size_t n = 0; n < std::max<std::size_t>(list.size(), 1) && !answer.is_connected; ++n) {
            it.address = list.empty() ? owner.options_.nodes.front() : list[turn++ % list.size()];
            answer = send(it);
        }
        return answer;
    }

    void lookup() {
        const auto path = "/s/" + owner.options_.lookup_service + "/item/" + std::to_string(number) + "-" +
                          std::to_string(next_number++);
        const auto answer = send_anywhere({.path = path, .timeout_ms = owner.options_.timeout_ms});
        const bool is_good = answer.is_whole && answer.status == 200;
        const bool is_own = answer.body.find(path.substr(path.find("/item/"))) != std::string::npos;
        const lock_guard hold(owner.mutex_);
        ++owner.result_.lookups;
        owner.result_.lookups_failed += is_good ? 0 : 1;
        owner.result_.wrong_answers += is_good && !is_own ? 1 : 0;
        note_failure(is_good && is_own, "lookup " + describe(answer));
    }

    void download() {
        const auto seed = number + 1;
        const auto path = "/s/" + owner.options_.download_service + "/blob/" +
                          std::to_string(owner.options_.download_bytes) + "/" + std::to_string(seed);
        const auto answer = send_anywhere({.path = path, .timeout_ms = 20000});
        const bool is_good = answer.is_whole && answer.status == 200;
        auto& wanted = blobs[path];
        if (wanted.empty() && is_good) {
            wanted = answer.body;
        }
        const lock_guard hold(owner.mutex_);
        ++owner.result_.downloads;
        owner.result_.downloads_failed += is_good ? 0 : 1;
        owner.result_.wrong_answers += is_good && answer.body != wanted ? 1 : 0;
        note_failure(is_good, "download " + describe(answer));
    }

    /** Finds a node with a prefix for a first copy. */
    std::string home() {
        const auto list = current();
        for (std::size_t n = 0; n < list.size(); ++n) {
            const auto& it = list[turn++ % list.size()];
            if (prefixes.contains(it)) {
                return it;
            }
            const auto answer = send({.address = it, .path = "/address", .timeout_ms = 1000});
            if (answer.is_whole && answer.status == 200) {
                prefixes[it] = nlohmann::json::parse(answer.body).at("id_prefix").get<std::string>();
                return it;
            }
        }
        return {};
    }

    void order() {
        const auto node = home();
        if (node.empty()) {
            return;
        }
        load_result::order it{.id =
                                  prefixes[node] + "." +
                                  std::to_string(static_cast<std::uint64_t>(number) << 32U | next_number++)};
        const auto body = "order " + it.id;
        auto answer = send_order(node, owner.options_.order_service, it.id, body, owner.options_.timeout_ms);
        take(it, body, node, answer);
        if (!answer.is_connected) {
            prefixes.erase(node); // Nothing was sent; the next order takes a prefix of another node.
        }
        for (int n = 0; n < most_resends && is_unclear(answer); ++n) {
            const auto list = current();
            const auto other = list[turn++ % list.size()];
            answer = send_order(other, owner.options_.order_service, it.id, body, owner.options_.timeout_ms);
            take(it, body, other, answer);
        }
        const lock_guard hold(owner.mutex_);
        std::string history;
        for (const auto& verdict : it.verdicts) {
            history += verdict + " ";
        }
        note_failure(it.verdicts.back() == "ran", "order " + it.id + " " + history + describe(answer));
        owner.result_.orders.push_back(std::move(it));
    }

    static bool is_unclear(const test_answer& it) {
        return it.is_connected && (!it.is_whole || it.verdict() == "may-have-run");
    }

    void take(load_result::order& it, const std::string& body, const std::string& node,
              const test_answer& answer) {
        const auto verdict = answer.verdict();
        it.verdicts.push_back(!answer.is_connected ? "not-sent" : verdict.empty() ? "none" : verdict);
        it.is_answer_right =
            it.is_answer_right && (verdict != "ran" || answer.status != 200 || answer.body == body);
        if (const auto prefix = answer.header("Berylcrank-Id-Prefix"); !prefix.empty()) {
            prefixes[node] = prefix;
        }
    }

    void note_failure(bool is_good, const std::string& text) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(owner.mutex_) {
        if (!is_good && owner.result_.failures.size() < most_failure_bytes) {
            owner.result_.failures += text + "\n";
        }
    }

    std::map<std::string, std::string> blobs; ///< First answer of each download, by path.
};

load_caller::load_caller(options it) : options_(std::move(it)) {
    for (int n = 0; n < options_.threads; ++n) {
        threads_.emplace_back([this, n] { run(n); });
    }
}

load_caller::~load_caller() {
    stop();
}

void load_caller::wait_more(int n, int limit_ms) const {
    const int target = done() + n;
    wait_until(
        std::to_string(n) + " more requests", [&] { return done() >= target; }, limit_ms);
}

load_result load_caller::stop() {
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
    const lock_guard hold(mutex_);
    return result_;
}

void load_caller::run(int number) {
    worker it{.owner = *this, .number = number};
    for (int n = number; !stopping_; ++n) {
        if (n % 3 == 0 && !options_.order_service.empty()) {
            it.order();
        } else if (n % 3 == 1 && !options_.download_service.empty()) {
            it.download();
        } else if (!options_.lookup_service.empty()) {
            it.lookup();
        }
        ++done_;
        poll(nullptr, 0, options_.pause_ms); // The pace of the load, not a wait for an event.
    }
}

} // namespace berylcrank::testing

#include "modules/berylcrank_gateway/state/state_follower.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <unistd.h>

namespace berylcrank {

namespace {

// A store in memory that responds when the test runs its events.
class fake_store final : public metadata_store {
public:
    explicit fake_store(manual_clock& time) : time_(time) {}

    std::vector<state_record> records;
    bool down{false};
    std::uint64_t call_count{0};

    void read_all(record_source source, read_handler done) override {
        ++call_count;
        later(millis{4}, [this, source, done] {
            store_read_result it{.outcome = down ? store_outcome::refused : store_outcome::ok};
            if (!down && source == record_source::upstreams) {
                std::map<std::string, state_record> newest;
                for (const auto& record : records) {
                    newest[record.key] = record;
                }
                for (const auto& [key, record] : newest) {
                    it.records.push_back(record);
                }
                it.end = records.size();
            }
            done(it);
        });
    }

    void read_from(record_source source, std::uint64_t from, millis wait, read_handler done) override {
        ++call_count;
        later(wait + millis{4}, [this, source, from, done] {
            store_read_result it{.outcome = down ? store_outcome::refused : store_outcome::ok, .end = from};
            if (!down && source == record_source::upstreams) {
                it.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
                it.end = records.size();
            }
            done(it);
        });
    }

    void announce(const node_info& /*self*/, done_handler done) override { done(store_outcome::ok); }
    void list_nodes(nodes_handler done) override { done(store_outcome::ok, {}, 0); }
    [[nodiscard]] std::uint64_t calls() const override { return call_count; }

    void run() {
        while (!events_.empty() && events_.begin()->first <= time_.now()) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

private:
    void later(millis delay, std::function<void()> event) {
        events_.emplace(time_.now() + delay, std::move(event));
    }

    manual_clock& time_;
    std::multimap<instant, std::function<void()>> events_;
};

// Followers that exchange messages every 50 ms, with a delivery delay.
struct followers_fixture {
    manual_clock time;
    fake_store store{time};
    event_log log{open("/dev/null", O_WRONLY), "test", time};
    std::vector<std::unique_ptr<state_follower>> followers;
    // For each follower, the keys of its records and whether each was read after an outage.
    std::vector<std::vector<std::pair<std::string, bool>>> received;
    std::multimap<instant, std::function<void()>> messages;
    std::vector<bool> alive;
    millis delay{12};

    explicit followers_fixture(int n = 5) {
        time.advance(millis{1000});
        received.resize(static_cast<std::size_t>(n));
        alive.assign(static_cast<std::size_t>(n), true);
        for (int i = 0; i < n; ++i) {
            followers.push_back(std::make_unique<state_follower>(
                store, time, log, follower_options{}, static_cast<std::uint64_t>(i + 1), 1000,
                [this, i](record_source source, const state_record& it, bool after_outage) {
                    if (source == record_source::upstreams) {
                        received[static_cast<std::size_t>(i)].emplace_back(it.key, after_outage);
                    }
                    return it.value == "beat" ? record_effect::unchanged : record_effect::changed;
                }));
        }
    }

    void write(const std::string& key, const std::string& value) {
        store.records.push_back(
            {.key = key, .offset = store.records.size(), .value = value, .removed = value.empty()});
    }

    void send(std::size_t from, std::size_t to) {
        const auto sent = followers[from]->watermarks(time.now());
        messages.emplace(time.now() + delay, [this, sent, from, to] {
            if (!alive[to] || !followers[to]->on_watermarks(sent, time.now())) {
                return;
            }
            const auto own = followers[to]->ends();
            followers[to]->merge(followers[from]->state_since(own, time.now()), time.now());
        });
    }

    void step(std::int64_t ms) {
        time.advance(millis{10});
        store.run();
        while (!messages.empty() && messages.begin()->first <= time.now()) {
            const auto event = std::move(messages.begin()->second);
            messages.erase(messages.begin());
            event();
        }
        std::size_t rank = 0;
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (!alive[i]) {
                continue;
            }
            followers[i]->tick(rank++, time.now());
            for (std::size_t k = 0; k < followers.size() && (ms / 10 + static_cast<std::int64_t>(i)) % 5 == 0;
                 ++k) {
                if (k != i && alive[k]) {
                    send(i, k);
                }
            }
        }
    }

    void run(std::int64_t ms) {
        for (std::int64_t t = 0; t < ms; t += 10) {
            step(t);
        }
    }

    [[nodiscard]] bool all_received(const std::string& key) const {
        for (std::size_t i = 0; i < received.size(); ++i) {
            const auto has = [&](const auto& it) { return it.first == key; };
            if (alive[i] && std::none_of(received[i].begin(), received[i].end(), has)) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

// Guards against nodes that renew each other's confirmations, so that none of them reads the store.
TEST_CASE_FIXTURE(followers_fixture,
                  "state_follower, messages with a long delay, do not reduce the reads of the store") {
    for (const auto ms : {12, 60, 200, 300}) {
        delay = millis{ms};
        run(2000);
        const auto before = store.call_count;
        run(20000);
        CHECK(store.call_count - before >= 20 * 2); // upstreams every 450 ms, operators every 900 ms
        write("after-" + std::to_string(ms), "x");
        run(1500);
        CHECK(all_received("after-" + std::to_string(ms)));
    }
}

// Guards against a number of calls to the store that grows with the number of nodes.
TEST_CASE_FIXTURE(
    followers_fixture,
    "state_follower, no changes for 20 s, nodes together make about as many calls as one node") {
    run(1000);
    const auto before = store.call_count;
    run(20000);
    CHECK(store.call_count - before <=
          20 * 4); // 2.2 reads of the upstreams and 1.1 of the operators per second, plus a margin
    CHECK(store.call_count - before >= 20 * 2);
}

// Guards against nodes that wait for a reader that has crashed.
TEST_CASE_FIXTURE(followers_fixture, "state_follower, first node crashes, another one reads within 1.5 s") {
    write("a", "x");
    run(1500);
    alive[0] = false;
    write("b", "x");
    run(1500);
    CHECK(all_received("b"));
}

// Guards against confusing registrations that lapsed in an outage of the store with planned removals.
TEST_CASE_FIXTURE(followers_fixture,
                  "state_follower, removal read after an outage, is reported as such on every node") {
    write("a", "x");
    write("b", "x");
    run(1500);
    write("a", "");
    run(1500);
    store.down = true;
    run(4000);
    write("b", "");
    store.down = false;
    run(2500);
    for (const auto& it : received) {
        CHECK(it[2] == std::pair<std::string, bool>("a", false));
        CHECK(it.back() == std::pair<std::string, bool>("b", true));
    }
}

// Guards against nodes that pull records which contain only heartbeats and no change.
TEST_CASE_FIXTURE(followers_fixture, "state_follower, only heartbeat records, sends other nodes no records") {
    write("a", "x");
    run(1500);
    for (int n = 0; n < 20; ++n) {
        write("a", "beat");
        run(100);
    }
    CHECK(followers[0]->watermarks(time.now())[1].end > 15);
    CHECK(followers[0]->state_since({{{}, {.offset = 1}}}, time.now())[1].records.empty());
    CHECK(followers[4]->watermarks(time.now())[1].end > 10); // covered by the confirmation of the reader
}

} // namespace berylcrank

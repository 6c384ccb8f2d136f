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

// A store in memory whose answers are given when the test runs them.
class fake_store final : public metadata_store {
public:
    explicit fake_store(manual_clock& time) : time_(time) {}

    std::vector<state_record> records;
    bool down{false};
    std::uint64_t made{0};

    void read_all(record_source source, read_handler done) override {
        ++made;
        later(millis{4}, [this, source, done] {
            store_read it{.outcome = down ? store_outcome::refused : store_outcome::ok};
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
        ++made;
        later(wait + millis{4}, [this, source, from, done] {
            store_read it{.outcome = down ? store_outcome::refused : store_outcome::ok, .end = from};
            if (!down && source == record_source::upstreams) {
                it.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
                it.end = records.size();
            }
            done(it);
        });
    }

    void announce(const node_info& /*self*/, done_handler done) override { done(store_outcome::ok); }
    void list_nodes(nodes_handler done) override { done(store_outcome::ok, {}); }
    [[nodiscard]] std::uint64_t calls() const override { return made; }

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

// Followers that hear each other each 50 ms, a little late.
struct followers_fixture {
    manual_clock time;
    fake_store store{time};
    event_log log{open("/dev/null", O_WRONLY), "test", time};
    std::vector<std::unique_ptr<state_follower>> followers;
    std::vector<std::vector<std::pair<std::string, bool>>> seen; // key and whether after an outage
    std::multimap<instant, std::function<void()>> messages;
    std::vector<bool> alive;
    millis delay{12};

    explicit followers_fixture(int n = 5) {
        time.advance(millis{1000});
        seen.resize(static_cast<std::size_t>(n));
        alive.assign(static_cast<std::size_t>(n), true);
        for (int i = 0; i < n; ++i) {
            followers.push_back(std::make_unique<state_follower>(
                store, time, log, follower_options{}, static_cast<std::uint64_t>(i + 1), 1000,
                [this, i](record_source source, const state_record& it, bool after_outage) {
                    if (source == record_source::upstreams) {
                        seen[static_cast<std::size_t>(i)].emplace_back(it.key, after_outage);
                    }
                    return it.value != "beat";
                }));
        }
    }

    void write(const std::string& key, const std::string& value) {
        store.records.push_back(
            {.key = key, .offset = store.records.size(), .value = value, .removed = value.empty()});
    }

    void send(std::size_t from, std::size_t to) {
        const auto sent = followers[from]->marks(time.now());
        messages.emplace(time.now() + delay, [this, sent, from, to] {
            if (!alive[to] || !followers[to]->hear(sent, time.now())) {
                return;
            }
            const auto own = followers[to]->marks(time.now());
            std::array<std::uint64_t, record_source_count> ends{};
            for (std::size_t i = 0; i < ends.size(); ++i) {
                ends[i] = own[i].complete ? own[i].end : 0;
            }
            followers[to]->merge(followers[from]->give(ends, time.now()), time.now());
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

    [[nodiscard]] bool all_saw(const std::string& key) const {
        for (std::size_t i = 0; i < seen.size(); ++i) {
            const auto has = [&](const auto& it) { return it.first == key; };
            if (alive[i] && std::none_of(seen[i].begin(), seen[i].end(), has)) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

// Guards against nodes that renew each other's word on the age of their copies until none reads the store.
TEST_CASE_FIXTURE(followers_fixture,
                  "state_follower, messages are on the way for long, the store is read as often") {
    for (const auto ms : {12, 60, 200, 300}) {
        delay = millis{ms};
        run(2000);
        const auto before = store.made;
        run(20000);
        CHECK(store.made - before >= 20 * 2); // the upstreams each 450 ms, the operators each 900 ms
        write("after-" + std::to_string(ms), "x");
        run(1500);
        CHECK(all_saw("after-" + std::to_string(ms)));
    }
}

// Guards against calls to the store that every node makes.
TEST_CASE_FIXTURE(followers_fixture,
                  "state_follower, calm for 20 s, the nodes make about as many calls as one") {
    run(1000);
    const auto before = store.made;
    run(20000);
    CHECK(store.made - before <=
          20 * 4); // 2.2 reads of the upstreams and 1.1 of the operators a second, and some
    CHECK(store.made - before >= 20 * 2);
}

// Guards against the others waiting for a reader that has died.
TEST_CASE_FIXTURE(followers_fixture, "state_follower, first node dies, another reads within 1.5 s") {
    write("a", "x");
    run(1500);
    alive[0] = false;
    write("b", "x");
    run(1500);
    CHECK(all_saw("b"));
}

// Guards against registrations that lapsed with the store being taken for planned removals, and the other way
// round.
TEST_CASE_FIXTURE(followers_fixture,
                  "state_follower, removal read after an outage, is marked so on every node") {
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
    for (const auto& it : seen) {
        CHECK(it[2] == std::pair<std::string, bool>("a", false));
        CHECK(it.back() == std::pair<std::string, bool>("b", true));
    }
}

// Guards against all nodes fetching records because of heartbeats that mean nothing.
TEST_CASE_FIXTURE(followers_fixture, "state_follower, only heartbeats come, gives the others nothing") {
    write("a", "x");
    run(1500);
    for (int n = 0; n < 20; ++n) {
        write("a", "beat");
        run(100);
    }
    CHECK(followers[0]->marks(time.now())[1].end > 15);
    CHECK(followers[0]->give({0, 1}, time.now())[1].records.empty());
    CHECK(followers[4]->marks(time.now())[1].end > 10); // covered by the word of the reader
}

} // namespace berylcrank

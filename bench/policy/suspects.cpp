#include "bench/policy/scenario.h"
#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include <cmath>
#include <cstdio>
#include <deque>

namespace berylcrank::bench {

namespace {

constexpr std::uint64_t poison = 1; // fingerprint; innocent ones are above

struct suspect_result {
    std::uint64_t innocent{0};
    std::uint64_t refused{0}; ///< Innocent requests refused.
    std::uint64_t poison_crashes{0};
    std::size_t worst_minute{0}; ///< Most crashes by the poison request in any 60 s.
};

struct suspect_setting {
    const char* name;
    millis crash_time;   ///< From arrival of the poison request to the crash.
    millis unrelated;    ///< Time between crashes that no request causes; 0: none.
    bool loses_domain;   ///< Five upstreams are lost at once, once a minute.
    double news_loss{0}; ///< Share of direct crash news that is lost; gossip repeats it.
};

/** Nodes with suspect tables in front of upstreams that crash. */
class crash_run {
public:
    crash_run(const suspect_setting& setting, std::uint64_t seed) : setting_(setting), random_(seed) {
        for (std::uint64_t n = 0; n < nodes; ++n) {
            tables_.push_back(std::make_unique<suspect_table>(suspect_table::options{.self = {n + 1}}));
        }
        for (int n = 1; n <= fingerprints; ++n) { // popularity of rank n is 1/n
            popularity_.push_back((popularity_.empty() ? 0 : popularity_.back()) + 1.0 / n);
        }
    }

    suspect_result run(millis duration) {
        next_innocent();
        next_poison();
        next_gossip();
        if (setting_.unrelated > millis{}) {
            next_unrelated();
        }
        if (setting_.loses_domain) {
            next_domain_loss();
        }
        events_.run_until(instant{} + duration);
        return result_;
    }

private:
    static constexpr std::size_t nodes = 15;
    static constexpr std::size_t upstreams = 15;
    static constexpr int fingerprints = 20000;
    static constexpr double requests_per_ms = 5.4;
    static constexpr millis restart_time{2000};
    static constexpr millis one_way = millis::from_micros(500);

    struct request {
        std::uint64_t number;
        std::uint64_t fingerprint;
        std::size_t node;
    };
    struct upstream {
        std::vector<request> in_flight;
        std::uint64_t incarnation{1};
        bool is_up{true};
    };

    void next_innocent() {
        const double at = random_.unit() * popularity_.back();
        const auto rank = std::ranges::lower_bound(popularity_, at) - popularity_.begin();
        ++result_.innocent;
        arrive(poison + 1 + static_cast<std::uint64_t>(rank), random_.below(nodes), 0);
        events_.after(millis::from_value(-std::log(1 - random_.unit()) / requests_per_ms),
                      [this] { next_innocent(); });
    }

    void next_poison() {
        arrive(poison, random_.below(nodes), 0);
        events_.after(millis{100}, [this] { next_poison(); });
    }

    void next_unrelated() {
        crash(random_.below(upstreams));
        events_.after(setting_.unrelated, [this] { next_unrelated(); });
    }

    void next_domain_loss() {
        for (std::size_t n = 0; n < upstreams; n += 3) {
            crash(n);
        }
        events_.after(millis{60000}, [this] { next_domain_loss(); });
    }

    void next_gossip() {
        for (std::size_t from = 0; from < nodes; ++from) {
            for (int n = 0; n < 3; ++n) {
                const auto to = random_.below(nodes);
                tables_[to]->merge(tables_[from]->recent_crash_reports(64, events_.now()), events_.now());
            }
        }
        events_.after(millis{300}, [this] { next_gossip(); });
    }

    void arrive(std::uint64_t fingerprint, std::size_t node, int relays) {
        const auto verdict = tables_[node]->check(fingerprint, events_.now());
        switch (verdict.action) {
        case suspect_verdict::action_kind::run:
            return send(fingerprint, node, false);
        case suspect_verdict::action_kind::run_alone:
            return send(fingerprint, node, true);
        case suspect_verdict::action_kind::wait:
            return events_.after(millis{5}, [=, this] { arrive(fingerprint, node, relays); });
        case suspect_verdict::action_kind::relay:
            if (relays < 2) {
                const auto owner = static_cast<std::size_t>(verdict.owner.value - 1);
                return events_.after(one_way, [=, this] { arrive(fingerprint, owner, relays + 1); });
            }
            break;
        case suspect_verdict::action_kind::refuse:
            break;
        }
        result_.refused += fingerprint != poison ? 1 : 0;
    }

    void send(std::uint64_t fingerprint, std::size_t node, bool is_alone) {
        auto to = random_.below(upstreams);
        const auto is_taken = [&](std::size_t n) {
            return !upstreams_[n].is_up ||
                   std::ranges::any_of(upstreams_[n].in_flight,
                                       [&](const request& it) { return is_alone && it.node == node; });
        };
        for (std::size_t n = 0; n < upstreams && is_taken(to); ++n) {
            to = (to + 1) % upstreams;
        }
        const auto number = ++numbers_;
        upstreams_[to].in_flight.push_back({.number = number, .fingerprint = fingerprint, .node = node});
        const bool is_poison = fingerprint == poison;
        const auto time =
            is_poison ? setting_.crash_time : millis::from_value(-std::log(1 - random_.unit()) * 10);
        events_.after(time, [=, this] {
            auto& in_flight = upstreams_[to].in_flight;
            const auto at = std::ranges::find(in_flight, number, &request::number);
            if (at == in_flight.end()) {
                return; // lost in a crash
            }
            if (is_poison) {
                ++result_.poison_crashes;
                note_crash();
                return crash(to);
            }
            in_flight.erase(at);
            if (const auto news = tables_[node]->on_success(fingerprint, events_.now())) {
                spread(*news, node);
            }
        });
    }

    void note_crash() {
        crashes_.push_back(events_.now());
        while (events_.now() - crashes_.front() >= millis{60000}) {
            crashes_.pop_front();
        }
        result_.worst_minute = std::max(result_.worst_minute, crashes_.size());
    }

    void crash(std::size_t n) {
        auto& it = upstreams_[n];
        if (!it.is_up) {
            return;
        }
        it.is_up = false;
        const auto lost = std::move(it.in_flight);
        it.in_flight.clear();
        for (const auto& part : lost) {
            const auto own = static_cast<std::uint32_t>(
                std::ranges::count(lost, part.node, [](const request& other) { return other.node; }));
            const auto news = tables_[part.node]->on_connection_lost(
                part.fingerprint, std::to_string(n), std::to_string(it.incarnation), own, events_.now());
            if (news) {
                spread(*news, part.node);
            }
        }
        events_.after(restart_time, [this, n] {
            upstreams_[n].is_up = true;
            ++upstreams_[n].incarnation;
        });
    }

    void spread(const crash_report& it, std::size_t from) {
        for (std::size_t n = 0; n < nodes; ++n) {
            if (n != from && random_.unit() >= setting_.news_loss) {
                events_.after(one_way, [this, n, it] { tables_[n]->merge({&it, 1}, events_.now()); });
            }
        }
    }

    suspect_setting setting_;
    event_queue events_;
    seeded_random random_;
    std::vector<std::unique_ptr<suspect_table>> tables_;
    std::array<upstream, upstreams> upstreams_;
    std::vector<double> popularity_;
    std::deque<instant> crashes_;
    std::uint64_t numbers_{0};
    suspect_result result_;
};

} // namespace

void report_suspects(const bench_options& it) {
    constexpr suspect_setting settings[] = {
        {"poison request only, crash after 20 ms", millis{20}, millis{}, false},
        {"also unrelated crashes every 10 s", millis{20}, millis{10000}, false},
        {"also a failure domain lost each minute", millis{20}, millis{10000}, true},
        {"also 10 % of direct news lost", millis{20}, millis{10000}, true, 0.1},
        {"crash only after 250 ms", millis{250}, millis{10000}, true},
    };
    std::printf("\n| setting | seed | innocent requests | innocent refused | per 10,000 | crashes by the "
                "poison request "
                "| most in any minute |\n|---|---|---|---|---|---|---|\n");
    for (const auto& setting : settings) {
        std::vector<suspect_result> results(it.seeds);
        run_parallel(it.seeds, it.threads,
                     [&](std::size_t n) { results[n] = crash_run(setting, n + 1).run(it.duration); });
        for (std::size_t n = 0; n < it.seeds; ++n) {
            const auto& result = results[n];
            std::printf("| %s | %zu | %llu | %llu | %.3f | %llu | %zu |\n", setting.name, n + 1,
                        static_cast<unsigned long long>(result.innocent),
                        static_cast<unsigned long long>(result.refused),
                        1e4 * static_cast<double>(result.refused) / static_cast<double>(result.innocent),
                        static_cast<unsigned long long>(result.poison_crashes), result.worst_minute);
        }
    }
}

} // namespace berylcrank::bench

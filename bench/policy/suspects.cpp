#include "bench/policy/scenario.h"
#include "modules/berylcrank_suspect/berylcrank_suspect.h"

#include <cmath>
#include <cstdio>
#include <deque>
#include <optional>

namespace berylcrank::bench {

namespace {

constexpr std::uint64_t poison_fingerprint = 1; // Other requests have higher fingerprints.

struct suspect_result {
    std::uint64_t normal_requests{0};
    std::uint64_t refused_normal_requests{0};
    std::uint64_t poison_crashes{0};
    std::size_t max_crashes_per_minute{0}; ///< Maximum number of crashes by the poison request in any 60 s.
    /** Copies of the poison request sent later than `containment_time` after its third crash. */
    std::uint64_t late_poison_sends{0};
};

struct suspect_setting {
    const char* name;
    millis crash_time; ///< Time from the arrival of the poison request at the upstream to the crash.
    millis unrelated_crash_interval; ///< Time between crashes that no request causes; 0: no such crashes.
    bool has_domain_losses;          ///< Five upstreams crash at the same time, once per minute.
    double report_loss{0};           ///< Share of the messages between nodes that are lost.
    std::size_t upstreams{15};
};

/** Simulates nodes with suspect tables in front of upstreams that crash. One request, the poison request,
    crashes every upstream that runs it. */
class crash_simulation {
public:
    crash_simulation(const suspect_setting& setting, std::uint64_t seed)
        : setting_(setting), random_(seed), upstreams_(setting.upstreams) {
        for (std::uint64_t n = 0; n < nodes; ++n) {
            tables_.push_back(std::make_unique<suspect_table>(suspect_table::options{},
                                                              [](const upstream_loss&) { return false; }));
        }
        for (int n = 1; n <= fingerprint_count; ++n) { // The popularity of rank n is 1/n.
            popularity_.push_back((popularity_.empty() ? 0 : popularity_.back()) + 1.0 / n);
        }
    }

    suspect_result run(millis duration) {
        send_normal_request();
        send_poison_request();
        exchange_reports();
        if (setting_.unrelated_crash_interval > millis{}) {
            crash_random_upstream();
        }
        if (setting_.has_domain_losses) {
            lose_failure_domain();
        }
        events_.run_until(instant{} + duration);
        return result_;
    }

private:
    static constexpr std::size_t nodes = 15;
    static constexpr int fingerprint_count = 20000;
    static constexpr double requests_per_ms = 5.4;
    static constexpr millis restart_time{2000};
    static constexpr millis containment_time{3000};
    static constexpr millis one_way_delay = millis::from_micros(500);

    struct request {
        std::uint64_t number;
        std::uint64_t fingerprint;
        std::size_t node;
        instant sent_at;
    };
    struct upstream {
        std::vector<request> in_flight;
        std::uint64_t incarnation{1};
        bool is_up{true};
    };

    void send_normal_request() {
        const double draw = random_.unit() * popularity_.back();
        const auto rank = std::ranges::lower_bound(popularity_, draw) - popularity_.begin();
        ++result_.normal_requests;
        arrive(poison_fingerprint + 1 + static_cast<std::uint64_t>(rank), random_.below(nodes));
        events_.run_after(millis::from_value(-std::log(1 - random_.unit()) / requests_per_ms),
                          [this] { send_normal_request(); });
    }

    void send_poison_request() {
        arrive(poison_fingerprint, random_.below(nodes));
        events_.run_after(millis{100}, [this] { send_poison_request(); });
    }

    void crash_random_upstream() {
        crash(random_.below(upstreams_.size()));
        events_.run_after(setting_.unrelated_crash_interval, [this] { crash_random_upstream(); });
    }

    void lose_failure_domain() {
        for (std::size_t n = 0; n < upstreams_.size(); n += 3) {
            crash(n);
        }
        events_.run_after(millis{60000}, [this] { lose_failure_domain(); });
    }

    void exchange_reports() {
        for (std::size_t sender = 0; sender < nodes; ++sender) {
            auto changes = tables_[sender]->take_changes(8, events_.now());
            if (!changes.empty()) {
                broadcast(changes, sender);
            }
        }
        events_.run_after(millis{50}, [this] { exchange_reports(); });
    }

    void arrive(std::uint64_t fingerprint, std::size_t node) {
        if (tables_[node]->check(fingerprint, events_.now()).action != suspect_verdict::action_kind::refuse) {
            send(fingerprint, node);
            return;
        }
        result_.refused_normal_requests += fingerprint != poison_fingerprint ? 1 : 0;
    }

    void send(std::uint64_t fingerprint, std::size_t node) {
        auto target = random_.below(upstreams_.size());
        for (std::size_t n = 0; n < upstreams_.size() && !upstreams_[target].is_up; ++n) {
            target = (target + 1) % upstreams_.size();
        }
        const auto number = ++last_number_;
        upstreams_[target].in_flight.push_back(
            {.number = number, .fingerprint = fingerprint, .node = node, .sent_at = events_.now()});
        const bool is_poison = fingerprint == poison_fingerprint;
        result_.late_poison_sends +=
            is_poison && third_crash_ && events_.now() - *third_crash_ > containment_time ? 1 : 0;
        const auto time =
            is_poison ? setting_.crash_time : millis::from_value(-std::log(1 - random_.unit()) * 10);
        events_.run_after(time, [=, this] {
            auto& in_flight = upstreams_[target].in_flight;
            const auto finished = std::ranges::find(in_flight, number, &request::number);
            if (finished == in_flight.end()) {
                return; // Lost in a crash.
            }
            if (is_poison) {
                ++result_.poison_crashes;
                record_crash();
                return crash(target);
            }
            in_flight.erase(finished);
            tables_[node]->on_success(fingerprint, events_.now());
        });
    }

    void record_crash() {
        crashes_.push_back(events_.now());
        if (result_.poison_crashes == 3) {
            third_crash_ = events_.now();
        }
        while (events_.now() - crashes_.front() >= millis{60000}) {
            crashes_.pop_front();
        }
        result_.max_crashes_per_minute = std::max(result_.max_crashes_per_minute, crashes_.size());
    }

    void crash(std::size_t n) {
        auto& crashed = upstreams_[n];
        if (!crashed.is_up) {
            return;
        }
        crashed.is_up = false;
        const auto lost = std::move(crashed.in_flight);
        crashed.in_flight.clear();
        for (const auto& lost_request : lost) {
            tables_[lost_request.node]->on_lost(lost_request.fingerprint,
                                                {.upstream = static_cast<std::uint32_t>(n),
                                                 .run = crashed.incarnation,
                                                 .sent_at = lost_request.sent_at,
                                                 .lost_at = events_.now(),
                                                 .closed = true},
                                                events_.now());
        }
        events_.run_after(restart_time, [this, n] {
            upstreams_[n].is_up = true;
            ++upstreams_[n].incarnation;
        });
    }

    void broadcast(const std::vector<suspect_report>& reports, std::size_t from) {
        for (std::size_t n = 0; n < nodes; ++n) {
            if (n != from && random_.unit() >= setting_.report_loss) {
                events_.run_after(one_way_delay,
                                  [this, n, reports] { tables_[n]->merge(reports, events_.now()); });
            }
        }
    }

    suspect_setting setting_;
    event_queue events_;
    seeded_random random_;
    std::vector<std::unique_ptr<suspect_table>> tables_;
    std::vector<upstream> upstreams_;
    std::vector<double> popularity_;
    std::deque<instant> crashes_;
    std::optional<instant> third_crash_;
    std::uint64_t last_number_{0};
    suspect_result result_;
};

} // namespace

void report_suspects(const bench_options& opts) {
    constexpr suspect_setting settings[] = {
        {"poison request only, crash after 20 ms", millis{20}, millis{}, false},
        {"also unrelated crashes every 10 s", millis{20}, millis{10000}, false},
        {"also a failure domain lost each minute", millis{20}, millis{10000}, true},
        {"also 10 % of the messages lost", millis{20}, millis{10000}, true, 0.1},
        {"crash only after 250 ms", millis{250}, millis{10000}, true},
        {"crash only after 2,500 ms, 450 upstreams", millis{2500}, millis{10000}, true, 0, 450},
    };
    std::printf(
        "\n| setting | seed | normal requests | normal requests refused | per 10,000 | crashes by the "
        "poison request "
        "| maximum in any minute | copies sent over 3 s after the third crash "
        "|\n|---|---|---|---|---|---|---|---|\n");
    for (const auto& setting : settings) {
        std::vector<suspect_result> results(opts.seeds);
        run_parallel(opts.seeds, opts.threads, [&](std::size_t n) {
            results[n] = crash_simulation(setting, n + 1).run(opts.duration);
        });
        for (std::size_t n = 0; n < opts.seeds; ++n) {
            const auto& result = results[n];
            std::printf("| %s | %zu | %llu | %llu | %.3f | %llu | %zu | %llu |\n", setting.name, n + 1,
                        static_cast<unsigned long long>(result.normal_requests),
                        static_cast<unsigned long long>(result.refused_normal_requests),
                        1e4 * static_cast<double>(result.refused_normal_requests) /
                            static_cast<double>(result.normal_requests),
                        static_cast<unsigned long long>(result.poison_crashes), result.max_crashes_per_minute,
                        static_cast<unsigned long long>(result.late_poison_sends));
        }
    }
}

} // namespace berylcrank::bench

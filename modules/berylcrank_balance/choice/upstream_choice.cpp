#include "modules/berylcrank_balance/choice/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double cold_slowness = 2; // factor on the expected slowness of a cold upstream
constexpr double bytes_per_kib = 1024;
// A slot must be free for this time before other nodes may borrow it. The owner has a message interval to use
// it.
constexpr millis borrow_delay{40};
// Ratio of free slots from which the borrow probability applies in full. If fewer are free, most of the slots
// that seem free are about to be used.
constexpr double borrow_free_ratio = 0.3;
constexpr double failure_weight = 3; // the cost is divided by the success ratio to this power

bool contains(std::span<const std::uint32_t> tried, std::uint32_t number) {
    return std::find(tried.begin(), tried.end(), number) != tried.end();
}

// Evaluation of one candidate.
struct candidate_score {
    bool eligible{false}; // may receive the request now
    bool below_knee{false};
    int in_flight{0};
    double cost{0};
};

// Returns whether this node may use one of `free` slots of an upstream while other nodes have queued
// requests.
bool may_use_slot(const choice_request& request, const upstream& it, load_tracker::entry& load, int free,
                  double borrow_probability, random_source& random, instant now) {
    if (request.shares == nullptr) {
        return true;
    }
    if (free <= 0) {
        load.last_full = now;
        return false;
    }
    const auto share = request.shares->find(it.number);
    if (share != request.shares->end() && load.own < share->second) {
        return true;
    }
    return now - load.last_full >= borrow_delay && random.unit() < free * borrow_probability;
}

candidate_score score_candidate(const upstream& it, load_tracker& loads, const choice_request& request,
                                const choice_options& options, double borrow_probability,
                                random_source& random, instant now) {
    auto& load = loads.at(it.number);
    const int slots = std::max(1, it.entry.slots);
    candidate_score result{.in_flight = loads.in_flight(load, now)};
    const bool cold = it.cold_until > now;
    // While requests are queued, using slots above the knee would only slow down all requests.
    const int slot_limit = request.shares != nullptr ? usable_slots(slots, options) : slots;
    const bool fresh = request.max_report_age == any_report_age ||
                       (load.reported && now - load.report.at <= request.max_report_age);
    if (!fresh || load.down_until > now || it.paused_until > now || result.in_flight >= slot_limit ||
        !may_use_slot(request, it, load, slot_limit - result.in_flight, borrow_probability, random, now) ||
        (cold && !request.cold_allowed(it))) {
        return result;
    }
    const double slowness = load_tracker::slowness(load, loads.mean_slowness(), now);
    if (request.in_time_only && request.duration * slowness > request.target_left) {
        return result;
    }
    result.eligible = true;
    result.below_knee = result.in_flight < usable_slots(slots, options);
    result.cost = expected_cost(result.in_flight, slots, slowness, options);
    result.cost *= cold ? cold_slowness : 1;
    result.cost += it.entry.failure_domain == options.failure_domain
                       ? 0
                       : cross_domain_cost(request.transfer_bytes, options);
    result.cost *= load.outcomes_at == instant{} ? options.untried_factor : 1;
    result.cost /= std::pow(1 - load_tracker::failure_share(load, now), failure_weight);
    return result;
}

// Ratio of free slots below the knee, divided by `borrow_free_ratio` and capped at 1.
double free_slot_ratio(const upstream_directory& directory, const load_tracker& loads,
                       const choice_request& request, const choice_options& options, instant now) {
    double all = 0;
    double free = 0;
    for (const auto& it : request.candidates) {
        const auto* load = loads.find(it->number);
        if (!directory.usable(*it) || load == nullptr || load->down_until > now) {
            continue;
        }
        const int slots = usable_slots(it->entry.slots, options);
        all += slots;
        free += std::max(0, slots - loads.in_flight(*load, now));
    }
    return all <= 0 ? 0 : std::min(1.0, free / all / borrow_free_ratio);
}

void update_best(const upstream_ptr& it, const candidate_score& score, upstream_pick& best) {
    if (best.it && score.cost >= best.cost) {
        best.next_best_cost =
            best.next_best_cost == 0 ? score.cost : std::min(best.next_best_cost, score.cost);
        return;
    }
    best.next_best_cost = best.it ? best.cost : 0;
    best.it = it;
    best.cost = score.cost;
    best.in_flight = score.in_flight;
}

} // namespace

int usable_slots(int slots, const choice_options& options) {
    return std::max(1, static_cast<int>(std::floor(slots * options.slot_share + 1e-9)));
}

double expected_cost(int in_flight, int slots, double slowness, const choice_options& options) {
    const double fill = static_cast<double>(in_flight + 1) / std::max(1, slots);
    double cost = 1 + options.fill_cost * std::min(fill, 1.0);
    if (fill > options.knee_share) {
        cost += options.knee_cost;
    }
    if (fill > 1) {
        cost *= 1 + (fill - 1) * 1.5;
    }
    return cost * slowness;
}

double cross_domain_cost(double bytes, const choice_options& options) {
    return options.other_domain_cost +
           std::min(options.max_transfer_cost, options.transfer_cost * bytes / bytes_per_kib);
}

upstream_pick choose_upstream(const upstream_directory& directory, load_tracker& loads,
                              const choice_request& request, const choice_options& options,
                              random_source& random, instant now) {
    upstream_pick best;
    bool below_knee = false;
    const double borrow_probability =
        request.shares == nullptr
            ? 0
            : request.borrow_probability * free_slot_ratio(directory, loads, request, options, now);
    for (const auto& it : request.candidates) {
        if (!directory.usable(*it) || contains(request.tried, it->number)) {
            continue;
        }
        best.any_usable = true;
        auto score = score_candidate(*it, loads, request, options, borrow_probability, random, now);
        if (score.eligible) {
            below_knee = below_knee || score.below_knee;
            score.cost *= 1 + options.jitter * random.unit();
            update_best(it, score, best);
        }
    }
    if (!below_knee) {
        best.it = nullptr; // one more request at any upstream would lower the total throughput
    }
    if (best.it) {
        const auto& load = loads.at(best.it->number);
        best.report_age = load.reported ? now - load.report.at : millis{-1};
    }
    return best;
}

} // namespace berylcrank

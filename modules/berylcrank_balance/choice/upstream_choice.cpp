#include "modules/berylcrank_balance/choice/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double cold_slowness = 2;  // factor on the expected slowness of a cold upstream
constexpr double failure_weight = 3; // exponent with which recent failures raise the cost

bool contains(std::span<const std::uint32_t> tried, std::uint32_t number) {
    return std::find(tried.begin(), tried.end(), number) != tried.end();
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

upstream_pick choose_upstream(const upstream_directory& directory, load_book& loads,
                              std::span<const upstream_ptr> candidates, std::span<const std::uint32_t> tried,
                              const cold_check& cold_allowed, const choice_options& options,
                              random_source& random, instant now) {
    upstream_pick best;
    double best_key = 0;
    bool below_knee = false;
    for (const auto& it : candidates) {
        if (!directory.usable(*it) || contains(tried, it->number)) {
            continue;
        }
        best.any_usable = true;
        const auto& load = loads.at(it->number);
        const int slots = std::max(1, it->entry.slots);
        const int in_flight = loads.in_flight(load, now);
        if (load.down_until > now || in_flight >= slots) {
            continue;
        }
        const bool cold = it->cold_until > now;
        if (cold && !cold_allowed(*it)) {
            continue;
        }
        below_knee = below_knee || in_flight < usable_slots(slots, options);
        double cost =
            expected_cost(in_flight, slots, load_book::slowness(load, loads.usual_slowness(), now), options);
        cost *= cold ? cold_slowness : 1;
        cost += it->entry.failure_domain == options.failure_domain ? 0 : options.other_domain_cost;
        cost *= load.outcomes_at == instant{} ? options.untried_factor : 1;
        cost /= std::pow(1 - load_book::failure_share(load, now), failure_weight);
        const double key = cost * (1 + options.jitter * random.unit());
        if (!best.it || key < best_key) {
            best.runner_up = best.it ? best.cost : 0;
            best.it = it;
            best.cost = cost;
            best.in_flight = in_flight;
            best.report_age = load.reported ? now - load.report.at : millis{-1};
            best_key = key;
        } else if (best.runner_up == 0 || cost < best.runner_up) {
            best.runner_up = cost;
        }
    }
    if (!below_knee) {
        best.it = nullptr; // one request more anywhere would end fewer of them a second
    }
    return best;
}

} // namespace berylcrank

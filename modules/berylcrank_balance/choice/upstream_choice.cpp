#include "modules/berylcrank_balance/choice/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double cold_slowness = 2; // factor on the expected slowness of a cold upstream
constexpr double bytes_per_kib = 1024;
constexpr double failure_weight = 3; // exponent with which recent failures raise the cost

bool contains(std::span<const std::uint32_t> tried, std::uint32_t number) {
    return std::find(tried.begin(), tried.end(), number) != tried.end();
}

// What the choice weighs of one upstream.
struct weighed {
    bool fits{false}; // it may receive the request now
    bool below_knee{false};
    int in_flight{0};
    double cost{0};
};

weighed weigh(const upstream& it, load_book& loads, const choice_request& request,
              const choice_options& options, instant now) {
    const auto& load = loads.at(it.number);
    const int slots = std::max(1, it.entry.slots);
    weighed result{.in_flight = loads.in_flight(load, now)};
    const bool cold = it.cold_until > now;
    if (load.down_until > now || result.in_flight >= slots || (cold && !request.cold_allowed(it))) {
        return result;
    }
    result.fits = true;
    result.below_knee = result.in_flight < usable_slots(slots, options);
    result.cost = expected_cost(result.in_flight, slots,
                                load_book::slowness(load, loads.usual_slowness(), now), options);
    result.cost *= cold ? cold_slowness : 1;
    result.cost +=
        it.entry.failure_domain == options.failure_domain ? 0 : domain_cost(request.transfer_bytes, options);
    result.cost *= load.outcomes_at == instant{} ? options.untried_factor : 1;
    result.cost /= std::pow(1 - load_book::failure_share(load, now), failure_weight);
    return result;
}

void consider(const upstream_ptr& it, const weighed& found, upstream_pick& best) {
    if (best.it && found.cost >= best.cost) {
        best.runner_up = best.runner_up == 0 ? found.cost : std::min(best.runner_up, found.cost);
        return;
    }
    best.runner_up = best.it ? best.cost : 0;
    best.it = it;
    best.cost = found.cost;
    best.in_flight = found.in_flight;
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

double domain_cost(double bytes, const choice_options& options) {
    return options.other_domain_cost +
           std::min(options.most_transfer_cost, options.transfer_cost * bytes / bytes_per_kib);
}

upstream_pick choose_upstream(const upstream_directory& directory, load_book& loads,
                              const choice_request& request, const choice_options& options,
                              random_source& random, instant now) {
    upstream_pick best;
    bool below_knee = false;
    for (const auto& it : request.candidates) {
        if (!directory.usable(*it) || contains(request.tried, it->number)) {
            continue;
        }
        best.any_usable = true;
        auto found = weigh(*it, loads, request, options, now);
        if (found.fits) {
            below_knee = below_knee || found.below_knee;
            found.cost *= 1 + options.jitter * random.unit();
            consider(it, found, best);
        }
    }
    if (!below_knee) {
        best.it = nullptr; // one request more anywhere would end fewer of them a second
    }
    if (best.it) {
        const auto& load = loads.at(best.it->number);
        best.report_age = load.reported ? now - load.report.at : millis{-1};
    }
    return best;
}

} // namespace berylcrank

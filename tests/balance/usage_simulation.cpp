#include "tests/balance/usage_simulation.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr millis step{10};
const std::uint64_t account = account_number("capped");

} // namespace

usage_simulation::usage_simulation(const options& opts)
    : options_(opts), random_(opts.seed), limits_(opts.limits), now_(millis{3'600'000}) {
    for (int i = 0; i < opts.nodes; ++i) {
        nodes_.push_back(std::make_unique<node_model>());
        auto& it = *nodes_.back();
        it.owner = this;
        it.number = random_.next();
        it.lag = instant{millis{static_cast<std::int64_t>(random_.below(3'000'000))}};
        by_number_[it.number] = &it;
    }
    for (auto& it : nodes_) {
        for (const auto& [number, other] : by_number_) {
            if (!opts.faults.unequal_views || number == it->number || random_.unit() < 0.8) {
                it->candidates.push_back(number);
            }
        }
        it->candidates.resize(std::min(it->candidates.size(), usage_owner::max_candidates));
        start(*it);
    }
}

void usage_simulation::start(node_model& it) {
    it.run = next_run_++;
    it.kept.clear();
    it.caps = std::make_unique<usage_caps>(usage_caps::options{.self = it.number,
                                                               .run = it.run,
                                                               .tolerance = options_.tolerance,
                                                               .first_request_id = random_.next(),
                                                               .start = now_ - it.lag.since_start()});
    it.caps->set_nodes(it.candidates, static_cast<std::size_t>(options_.nodes));
}

void usage_simulation::kill(int node) {
    at(node).caps.reset();
}

void usage_simulation::restart(int node) {
    start(at(node));
}

void usage_simulation::pause(int node, millis duration) {
    at(node).paused_until = now_ + duration;
}

void usage_simulation::set_limits(const usage_limits& limits) {
    limits_ = limits;
    ++version_;
}

millis usage_simulation::delay() {
    return options_.faults.max_delay * random_.unit();
}

void usage_simulation::send(const node_model& from, std::uint64_t to, const usage_message& it) {
    ++messages_;
    const auto found = by_number_.find(to);
    if (found == by_number_.end() || found->second->partition != from.partition ||
        random_.unit() < options_.faults.loss) {
        return;
    }
    deliveries_.push({now_ + delay(), order_++, from.number, to, it});
    if (random_.unit() < options_.faults.duplicates) {
        deliveries_.push({now_ + millis{600} * random_.unit(), order_++, from.number, to, it});
    }
}

void usage_simulation::deliver() {
    while (!deliveries_.empty() && deliveries_.top().at <= now_) {
        const auto it = deliveries_.top();
        deliveries_.pop();
        auto& to = *by_number_.at(it.to);
        if (!to.caps || by_number_.at(it.from_number)->partition != to.partition) {
            continue;
        }
        if (now_ < to.paused_until) {
            to.kept.push_back(it.message);
            continue;
        }
        to.caps->on_message(it.message, to, now_ - to.lag.since_start());
    }
}

void usage_simulation::request(int node) {
    auto& it = at(node);
    if (!it.caps || now_ < it.paused_until) {
        return;
    }
    const auto done = [this, lag = it.lag](const usage_decision& decision) {
        if (!decision.token) {
            ++refusals_;
            return;
        }
        const auto left = decision.token->valid_until + lag.since_start() - now_;
        runs_.push_back(now_ + (random_.unit() < 0.5 ? millis{} : left));
    };
    it.caps->request(account, limits_, version_, millis{500}, done, it, now_ - it.lag.since_start());
}

void usage_simulation::run(millis duration, const std::function<void(usage_simulation&)>& load) {
    for (const auto end = now_ + duration; now_ < end; now_ = now_ + step) {
        deliver();
        for (auto& it : nodes_) {
            if (!it->caps || now_ < it->paused_until) {
                continue;
            }
            for (const auto& message : std::exchange(it->kept, {})) {
                it->caps->on_message(message, *it, now_ - it->lag.since_start());
            }
            it->caps->tick(*it, now_ - it->lag.since_start());
        }
        add_up_shares();
        load(*this);
    }
}

void usage_simulation::add_up_shares() {
    for (std::size_t group = 0; group < usage_group_count; ++group) {
        double sum = 0;
        for (const auto& it : nodes_) {
            if (it->caps && now_ >= it->paused_until) { // a paused holder issues nothing
                sum += it->caps->holder().lent_share(group);
            }
        }
        most_lent_ = std::max(most_lent_, sum);
    }
}

double usage_simulation::worst_window(const usage_limits& limits, instant from) const {
    auto sorted = runs_;
    std::sort(sorted.begin(), sorted.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sorted.size(); ++last) {
        while (first <= last &&
               (sorted[last] - sorted[first] >= options_.tolerance.window || sorted[first] < from)) {
            ++first;
        }
        most = std::max(most, last + 1 - first);
    }
    const double window = options_.tolerance.window.value() / 1000;
    return static_cast<double>(most) /
           ((limits.rate_per_second * window + limits.burst) * (1 + options_.tolerance.overage) +
            options_.tolerance.slack);
}

} // namespace berylcrank

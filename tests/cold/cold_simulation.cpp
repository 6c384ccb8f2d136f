#include "tests/cold/cold_simulation_state.h"

namespace berylcrank {

namespace {
constexpr millis gossip_interval{50};
}

cold_simulation::cold_simulation(const options& opts)
    : options_(opts), random_(opts.seed), now_(instant{millis{1000}}),
      upstream_(std::make_shared<process>()) {
    upstream_->name = "p0";
    for (std::size_t vm = 0; vm < opts.nodes; ++vm) {
        nodes_.push_back(nullptr);
        start_node(vm);
    }
    if (opts.has_faults) {
        schedule(millis{200}, [this] { inject_fault(); });
    }
    if (opts.has_outage) {
        schedule(millis{800}, [this] { log_down_until_ = instant::never(); });
        schedule(millis{1700}, [this] { restart_upstream(); });
    }
}

cold_simulation::~cold_simulation() = default;

void cold_simulation::run() {
    const auto stop = now_ + options_.length;
    while (!events_.empty() && events_.begin()->first <= stop && violation.empty()) {
        auto event = events_.extract(events_.begin());
        now_ = event.key();
        event.mapped()();
    }
}

instant cold_simulation::local_time(const node& self) const {
    return now_ + self.skew;
}

millis cold_simulation::random_delay() {
    const auto normal_delay = millis::from_micros(static_cast<std::int64_t>(300 + random_.below(3000)));
    return options_.has_faults && chance(0.08) ? millis{static_cast<std::int64_t>(random_.below(400))}
                                               : normal_delay;
}

void cold_simulation::run_on_node(std::size_t vm, millis delay, handler action) {
    schedule(delay, [this, vm, run = nodes_[vm]->run, action = std::move(action)] {
        run_if_current(vm, run, action);
    });
}

void cold_simulation::run_if_current(std::size_t vm, incarnation run, handler action) {
    const auto& self = *nodes_[vm];
    if (!self.is_up || self.run != run) {
        return; // The process has ended.
    }
    if (self.paused_until > now_) { // Timers and messages are delayed until the process resumes.
        events_.emplace(self.paused_until,
                        [this, vm, run, action = std::move(action)] { run_if_current(vm, run, action); });
        return;
    }
    action();
}

void cold_simulation::call(std::size_t from, std::size_t to, std::function<handler(node&)> remote_handler,
                           handler refused) {
    if (!nodes_[to]->is_up) {
        run_on_node(from, random_delay(), std::move(refused));
        return;
    }
    const auto lost = [&] {
        return options_.has_faults &&
               (chance(0.03) || nodes_[from]->isolated_until > now_ || nodes_[to]->isolated_until > now_);
    };
    for (int copies = options_.has_faults && chance(0.03) ? 2 : 1; copies > 0; --copies) {
        if (lost()) {
            continue;
        }
        run_on_node(to, random_delay(), [this, from, to, run = nodes_[from]->run, remote_handler] {
            auto response = remote_handler(*nodes_[to]);
            if (!options_.has_faults || !chance(0.03)) {
                schedule(random_delay(), [this, from, run, response = std::move(response)] {
                    run_if_current(from, run, response);
                });
            }
        });
    }
}

void cold_simulation::start_node(std::size_t vm) {
    auto started = std::make_unique<node>();
    started->vm = vm;
    started->run = incarnation{random_.next() | 1U};
    started->skew = millis{static_cast<std::int64_t>(random_.below(100000))};
    const auto name = std::to_string(vm);
    started->view = std::make_unique<peer_view>(peer_view::options{
        .self = {.vm = name, .run = started->run, .http_address = name, .rpc_address = name},
        .silence_timeout = millis{200}});
    started->issuer = std::make_unique<permit_issuer>(
        permit_issuer::options{.self = started->run, .times = options_.times, .retry = millis{10}});
    started->gate = std::make_unique<cold_gate>();
    started->election = std::make_unique<holder_election>(holder_election::options{
        .self = started->run, .step = millis{60}, .jitter = millis{30}, .retry = millis{300}, .burst = 64});
    nodes_[vm] = std::move(started);
    tick(vm);
    generate_load(vm);
}

void cold_simulation::tick(std::size_t vm) {
    auto& self = *nodes_[vm];
    std::vector<vm_seed> vm_list;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (self.stale_list_until <= now_ || other != missing_vm_) {
            const auto name = std::to_string(other);
            vm_list.push_back({.vm = name, .http_address = name, .rpc_address = name});
        }
    }
    self.view->apply_vm_list(vm_list, local_time(self));
    gossip(self);
    read_log(self);
    share_warm_reports(self);
    run_on_node(vm, gossip_interval, [this, vm] { tick(vm); });
}

gossip_message cold_simulation::make_message(node& self) {
    auto message = self.view->make_message(random_, local_time(self));
    message.warm = self.gate->warm_reports(random_, 8, 2, millis{500}, local_time(self));
    message.applied_offset = self.applied;
    if (self.log_end_read_at) {
        message.freshness_age = local_time(self) - *self.log_end_read_at;
    }
    return message;
}

void cold_simulation::gossip(node& self) {
    for (const auto& target : self.view->choose_targets(random_, local_time(self))) {
        const auto to = static_cast<std::size_t>(std::stoul(target.vm));
        const auto sent_at = local_time(self);
        const auto has_response = std::make_shared<bool>(false);
        const auto vm = self.vm;
        call(
            vm, to,
            [this, vm, sent = make_message(self), sent_at, has_response, target](node& peer) -> handler {
                peer.view->on_message(sent, local_time(peer));
                for (const auto& report : sent.warm) {
                    peer.gate->on_warm_report(report, local_time(peer));
                }
                return [this, vm, response = make_message(peer), sent_at, has_response, target] {
                    *has_response = true;
                    on_gossip_response(*nodes_[vm], response, target, sent_at);
                };
            },
            [this, vm, target] { nodes_[vm]->view->on_refused(target, local_time(*nodes_[vm])); });
        run_on_node(vm, gossip_interval, [this, vm, has_response, target, sent_at] {
            if (!*has_response) {
                nodes_[vm]->view->on_call_timeout(target, sent_at);
            }
        });
    }
}

void cold_simulation::on_gossip_response(node& self, const gossip_message& response,
                                         const gossip_target& target, instant sent_at) {
    self.view->on_response(response, target.rpc_address, sent_at, local_time(self));
    for (const auto& report : response.warm) {
        self.gate->on_warm_report(report, local_time(self));
    }
    if (response.applied_offset > self.applied &&
        !options_.treats_outage_as_log_end) { // Pulls the records from the peer, unless the call is lost.
        if (!chance(0.2)) {
            run_on_node(self.vm, random_delay(),
                        [this, vm = self.vm, end = response.applied_offset] { apply(*nodes_[vm], end); });
        }
    }
    confirm_holder(self, self.view->log_end_confirmed_at(self.applied));
}

void cold_simulation::confirm_holder(node& self, std::optional<instant> proof) {
    if (proof) {
        self.log_end_read_at = std::max(self.log_end_read_at.value_or(*proof), *proof);
        self.issuer->confirm_holder(*proof);
    }
}

void cold_simulation::read_log(node& reader) {
    if (options_.confirms_always) {
        reader.issuer->confirm_holder(local_time(reader));
    }
    if (reader.isolated_until > now_) {
        return;
    }
    const auto started = local_time(reader);
    const auto vm = reader.vm;
    run_on_node(vm, random_delay(), [this, vm, started, is_down = log_down_until_ > now_, end = log_.size()] {
        auto& self = *nodes_[vm];
        if (is_down) {
            const auto proof =
                self.view->outage_confirmed_at(self.applied, options_.times.max_proof_age, local_time(self));
            if (proof || options_.treats_outage_as_log_end) {
                self.issuer->confirm_holder(proof.value_or(started));
            }
            return;
        }
        apply(self, end);
        confirm_holder(self, started);
        propose(self);
    });
}

void cold_simulation::apply(node& self, std::size_t end) {
    bool is_first = false;
    for (; self.applied < end; ++self.applied) {
        const auto& record = log_[self.applied];
        if (self.holders.at(record.group) == record.replaces) {
            self.holders.at(record.group) = record.holder;
            is_first = !record.replaces.is_set();
        }
    }
    self.gate->set_holders(self.holders);
    if (self.holders.at(group) != self.run) {
        self.issuer->stop(group);
    } else if (!self.issuer->is_holder(group)) {
        const auto early = options_.skips_holder_wait ? millis{5000} : millis{0};
        self.issuer->hold(group, is_first, local_time(self) - early);
        for (const auto& [name, upstream] : self.gate->warm_incarnations(group)) {
            self.issuer->mark_warm(name, upstream);
        }
    }
}

void cold_simulation::propose(node& self) {
    std::vector<incarnation> alive;
    for (const auto& member : self.view->members(local_time(self))) {
        if (member.info.run.is_set() && member.state == peer_state::alive) {
            alive.push_back(member.info.run);
        }
    }
    const auto ended = [&](incarnation run) { return self.view->has_ended(run, local_time(self)); };
    for (const auto& record : self.election->propose(self.holders, alive, ended, random_, local_time(self))) {
        if (record.group != group) {
            continue; // The only upstream belongs to this group. The other groups would only cost time.
        }
        schedule(random_delay(), [this, record] {
            if (log_down_until_ <= now_) {
                log_.push_back(record);
                if (holders_.at(group) == record.replaces) {
                    holders_.at(group) = record.holder;
                    ++holder_changes;
                }
            }
        });
    }
}

void cold_simulation::restart_upstream() {
    upstream_->is_up = false;
    upstream_ = std::make_shared<process>();
    upstream_->name = "p" + std::to_string(++last_process_);
    warm_at.reset();
}

void cold_simulation::inject_fault() {
    auto& random_node = *nodes_[random_.below(nodes_.size())];
    auto& holder = **std::ranges::max_element(
        nodes_, {}, [this](const auto& self) { return self->run == holders_.at(group) ? 1 : 0; });
    auto& victim = chance(0.5) ? holder : random_node;
    const auto length = millis{static_cast<std::int64_t>(50 + random_.below(900))};
    switch (random_.below(6)) {
    case 0:
        victim.paused_until = now_ + length;
        break;
    case 1: { // Killed: its connections break, and a new run starts on the vm.
        victim.is_up = false;
        schedule(length, [this, vm = victim.vm] {
            if (!nodes_[vm]->is_up) {
                start_node(vm);
            }
        });
        break;
    }
    case 2: // Upstream restart without a notification.
        restart_upstream();
        break;
    case 3:
        victim.isolated_until = now_ + length;
        break;
    case 4:
        log_down_until_ = now_ + length;
        break;
    default: // Some nodes read a VM list without a running vm. That vm may be isolated at the same time.
        missing_vm_ = victim.vm;
        for (auto& other : nodes_) {
            other->stale_list_until = chance(0.7) ? now_ + length : now_;
        }
        victim.isolated_until = chance(0.6) ? now_ + length + length : victim.isolated_until;
        break;
    }
    schedule(millis{static_cast<std::int64_t>(20 + random_.below(300))}, [this] { inject_fault(); });
}

} // namespace berylcrank

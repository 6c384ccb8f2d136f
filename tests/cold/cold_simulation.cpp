#include "tests/cold/cold_simulation.h"

namespace berylcrank {

namespace {
const std::string upstream_name = "inventario-1";
const std::uint32_t group = group_of(upstream_name);
constexpr millis gossip_interval{50};
constexpr millis read_interval{40};
} // namespace

struct cold_simulation::node {
    struct connection {
        std::uint16_t port{0};
        std::shared_ptr<process> to;
        bool is_busy{false};
    };

    std::size_t vm{0};
    incarnation run;
    bool is_up{true};
    instant paused_until;
    instant cut_until;     ///< Hears nothing from peers and does not reach the log.
    instant lied_to_until; ///< The VM list that it reads misses a live node.
    millis skew;
    std::unique_ptr<peer_view> view;
    std::unique_ptr<permit_issuer> issuer;
    std::unique_ptr<cold_gate> gate;
    std::unique_ptr<holder_election> assignment;
    std::size_t applied{0};
    std::optional<instant> fresh;
    std::array<incarnation, group_count> holders{};
    std::vector<connection> pool;
};

struct cold_simulation::request {
    cold_attempt attempt{upstream_name};
    std::shared_ptr<job> work;
    std::uint16_t port{0};
    bool is_done{false};
};

cold_simulation::cold_simulation(const options& it)
    : options_(it), random_(it.seed), now_(instant{millis{1000}}), upstream_(std::make_shared<process>()) {
    upstream_->name = "p0";
    for (std::size_t vm = 0; vm < it.nodes; ++vm) {
        nodes_.push_back(nullptr);
        start_node(vm);
    }
    if (it.has_faults) {
        at(millis{200}, [this] { fault(); });
    }
    if (it.has_outage) {
        at(millis{800}, [this] { log_down_until_ = instant::never(); });
        at(millis{1700}, [this] { restart_upstream(); });
    }
}

cold_simulation::~cold_simulation() = default;

void cold_simulation::run() {
    const auto stop = now_ + options_.length;
    while (!events_.empty() && events_.begin()->first <= stop && violation.empty()) {
        auto it = events_.extract(events_.begin());
        now_ = it.key();
        it.mapped()();
    }
}

instant cold_simulation::local(const node& it) const {
    return now_ + it.skew;
}

millis cold_simulation::delay() {
    const auto usual = millis::from_micros(static_cast<std::int64_t>(300 + random_.below(3000)));
    return options_.has_faults && chance(0.08) ? millis{static_cast<std::int64_t>(random_.below(400))}
                                               : usual;
}

void cold_simulation::on(std::size_t vm, millis delay, handler it) {
    at(delay, [this, vm, run = nodes_[vm]->run, it = std::move(it)] { on_run(vm, run, it); });
}

void cold_simulation::on_run(std::size_t vm, incarnation run, handler it) {
    const auto& self = *nodes_[vm];
    if (!self.is_up || self.run != run) {
        return; // That process has ended.
    }
    if (self.paused_until > now_) { // Timers and messages wait until the process goes on.
        events_.emplace(self.paused_until, [this, vm, run, it = std::move(it)] { on_run(vm, run, it); });
        return;
    }
    it();
}

void cold_simulation::call(std::size_t from, std::size_t to, std::function<handler(node&)> serve,
                           handler refused) {
    if (!nodes_[to]->is_up) {
        on(from, delay(), std::move(refused));
        return;
    }
    const auto lost = [&] {
        return options_.has_faults &&
               (chance(0.03) || nodes_[from]->cut_until > now_ || nodes_[to]->cut_until > now_);
    };
    for (int copies = options_.has_faults && chance(0.03) ? 2 : 1; copies > 0; --copies) {
        if (lost()) {
            continue;
        }
        on(to, delay(), [this, from, to, run = nodes_[from]->run, serve] {
            auto reply = serve(*nodes_[to]);
            if (!options_.has_faults || !chance(0.03)) {
                at(delay(), [this, from, run, reply = std::move(reply)] { on_run(from, run, reply); });
            }
        });
    }
}

void cold_simulation::start_node(std::size_t vm) {
    auto it = std::make_unique<node>();
    it->vm = vm;
    it->run = incarnation{random_.next() | 1U};
    it->skew = millis{static_cast<std::int64_t>(random_.below(100000))};
    const auto name = std::to_string(vm);
    it->view = std::make_unique<peer_view>(
        peer_view::options{.self = {.vm = name, .run = it->run, .http_address = name, .rpc_address = name},
                           .silent = millis{200}});
    it->issuer = std::make_unique<permit_issuer>(
        permit_issuer::options{.self = it->run, .times = options_.times, .retry = millis{10}});
    it->gate = std::make_unique<cold_gate>();
    it->assignment = std::make_unique<holder_election>(holder_election::options{
        .self = it->run, .step = millis{60}, .jitter = millis{30}, .retry = millis{300}, .burst = 64});
    nodes_[vm] = std::move(it);
    tick(vm);
    load(vm);
}

void cold_simulation::tick(std::size_t vm) {
    auto& it = *nodes_[vm];
    std::vector<vm_seed> list;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (it.lied_to_until <= now_ || other != missing_vm_) {
            const auto name = std::to_string(other);
            list.push_back({.vm = name, .http_address = name, .rpc_address = name});
        }
    }
    it.view->apply_vm_list(list, local(it));
    gossip(it);
    read_log(it);
    take_news(it);
    on(vm, gossip_interval, [this, vm] { tick(vm); });
}

gossip_message cold_simulation::message(node& it) {
    auto out = it.view->make_message(random_, local(it));
    out.warm = it.gate->warm_reports(random_, 8, 2, millis{500}, local(it));
    out.applied_offset = it.applied;
    if (it.fresh) {
        out.fresh_ago = local(it) - *it.fresh;
    }
    return out;
}

void cold_simulation::gossip(node& it) {
    for (const auto& target : it.view->choose(random_, local(it))) {
        const auto to = static_cast<std::size_t>(std::stoul(target.vm));
        const auto asked = local(it);
        const auto has_reply = std::make_shared<bool>(false);
        const auto vm = it.vm;
        call(
            vm, to,
            [this, vm, sent = message(it), asked, has_reply, target](node& peer) -> handler {
                peer.view->on_message(sent, local(peer));
                for (const auto& news : sent.warm) {
                    peer.gate->on_warm_report(news, local(peer));
                }
                return [this, vm, reply = message(peer), asked, has_reply, target] {
                    *has_reply = true;
                    on_reply(*nodes_[vm], reply, target, asked);
                };
            },
            [this, vm, target] { nodes_[vm]->view->on_refused(target, local(*nodes_[vm])); });
        on(vm, gossip_interval, [this, vm, has_reply, target, asked] {
            if (!*has_reply) {
                nodes_[vm]->view->on_unanswered(target, asked);
            }
        });
    }
}

void cold_simulation::on_reply(node& it, const gossip_message& reply, const gossip_target& target,
                               instant asked) {
    it.view->on_reply(reply, target.rpc_address, asked, local(it));
    for (const auto& news : reply.warm) {
        it.gate->on_warm_report(news, local(it));
    }
    if (reply.applied_offset > it.applied &&
        !options_.trusts_refusal) { // Pulls what the peer has, unless that call is lost.
        if (!chance(0.2)) {
            on(it.vm, delay(), [this, vm = it.vm, end = reply.applied_offset] { apply(*nodes_[vm], end); });
        }
    }
    confirm(it, it.view->relayed_proof(it.applied));
}

void cold_simulation::confirm(node& it, std::optional<instant> proof) {
    if (proof) {
        it.fresh = std::max(it.fresh.value_or(*proof), *proof);
        it.issuer->confirm_holder(*proof);
    }
}

void cold_simulation::read_log(node& it) {
    if (options_.confirms_always) {
        it.issuer->confirm_holder(local(it));
    }
    if (it.cut_until > now_) {
        return;
    }
    const auto started = local(it);
    const auto vm = it.vm;
    on(vm, delay(), [this, vm, started, is_down = log_down_until_ > now_, end = log_.size()] {
        auto& self = *nodes_[vm];
        if (is_down) {
            const auto proof = self.view->outage_proof(self.applied, options_.times.max_proof_age, local(self));
            if (proof || options_.trusts_refusal) {
                self.issuer->confirm_holder(proof.value_or(started));
            }
            return;
        }
        apply(self, end);
        confirm(self, started);
        propose(self);
    });
}

void cold_simulation::apply(node& it, std::size_t end) {
    bool is_first = false;
    for (; it.applied < end; ++it.applied) {
        const auto& record = log_[it.applied];
        if (it.holders.at(record.group) == record.replaces) {
            it.holders.at(record.group) = record.holder;
            is_first = !record.replaces.is_set();
        }
    }
    it.gate->set_holders(it.holders);
    if (it.holders.at(group) != it.run) {
        it.issuer->stop(group);
    } else if (!it.issuer->is_holder(group)) {
        const auto early = options_.skips_wait ? millis{5000} : millis{0};
        it.issuer->hold(group, is_first, local(it) - early);
        for (const auto& [name, upstream] : it.gate->warm_incarnations(group)) {
            it.issuer->mark_warm(name, upstream);
        }
    }
}

void cold_simulation::propose(node& it) {
    std::vector<incarnation> alive;
    for (const auto& member : it.view->members(local(it))) {
        if (member.info.run.is_set() && member.state == peer_state::alive) {
            alive.push_back(member.info.run);
        }
    }
    const auto ended = [&](incarnation run) { return it.view->has_ended(run, local(it)); };
    for (const auto& record : it.assignment->propose(it.holders, alive, ended, random_, local(it))) {
        if (record.group != group) {
            continue; // The one upstream has one group; the others would only cost time.
        }
        at(delay(), [this, record] {
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

void cold_simulation::load(std::size_t vm) {
    auto& it = *nodes_[vm];
    const auto work = std::make_shared<request>();
    if (it.gate->begin(work->attempt, chance(0.1))) {
        send(it, work);
    } else {
        ask(it, work);
    }
    on(vm, millis{static_cast<std::int64_t>(5 + random_.below(20))}, [this, vm] { load(vm); });
}

void cold_simulation::ask(node& it, const std::shared_ptr<request>& work) {
    const auto holder = it.holders.at(group);
    const auto asked = local(it);
    const auto vm = it.vm;
    const auto run = it.run;
    const auto serve = [this, work, asked, vm, run](node& peer) -> handler {
        const auto answer =
            peer.issuer->acquire(run, upstream_name, request_class::lookup, options_.limits, local(peer));
        return [this, work, asked, answer, vm, from = peer.run] {
            auto& self = *nodes_[vm];
            if (!answer.granted || work->is_done || work->attempt.permit()) {
                return;
            }
            const cold_permit permit{answer.permit, upstream_name, from, asked + answer.expires_after};
            work->attempt.set_permit(permit, permit.run_limit(local(self), millis{10}));
            on(vm, chance(0.05) ? delay() : millis{1}, [this, vm, work] { send(*nodes_[vm], work); });
        };
    };
    if (holder == it.run) {
        serve(it)();
    } else if (const auto address = it.view->rpc_address(holder)) {
        call(vm, std::stoul(*address), serve, [] {});
    }
}

void cold_simulation::send(node& it, const std::shared_ptr<request>& work) {
    auto found = std::ranges::find_if(it.pool, [](const auto& link) { return !link.is_busy; });
    const bool is_new = found == it.pool.end() || chance(0.1);
    if (is_new) {
        if (it.pool.size() >= 4) {
            it.pool.erase(it.pool.begin());
        }
        // Few ports, so that they are soon used again.
        std::uint16_t port = 0;
        do {
            port = static_cast<std::uint16_t>(random_.below(6));
        } while (std::ranges::any_of(it.pool, [&](const auto& link) { return link.port == port; }));
        found = it.pool.insert(it.pool.end(), {port, upstream_});
    }
    work->port = found->port;
    const bool may =
        it.gate->may_send(work->attempt, found->port, is_new && !options_.trusts_ports, local(it));
    if (!may && !options_.ignores_check) {
        end(it, work, cold_outcome::not_sent);
        return;
    }
    found->is_busy = true;
    work->work = std::make_shared<job>(job{found->to});
    const auto& permit = work->attempt.permit();
    const bool is_limited = work->attempt.is_permitted() && !options_.has_no_run_limit;
    const auto limit = is_limited ? permit->run_limit(local(it), millis{10}) : millis{400};
    at(millis::from_micros(static_cast<std::int64_t>(200 + random_.below(3000))),
       [this, vm = it.vm, work, limit] { arrive(vm, work, limit); });
    on(it.vm, limit, [this, vm = it.vm, work] {
        if (!work->is_done) {
            end(*nodes_[vm], work, cold_outcome::abandoned);
        }
    });
}

void cold_simulation::arrive(std::size_t vm, const std::shared_ptr<request>& work, millis limit) {
    const auto to = work->work->at;
    const auto run = nodes_[vm]->run;
    if (!to->is_up) {
        on(vm, millis{1}, [this, vm, work] { end(*nodes_[vm], work, cold_outcome::connection_lost); });
        return;
    }
    ++to->in_flight;
    if (to->in_flight > options_.limits.concurrency && !to->is_declared) {
        violation = to->name + " has " + std::to_string(to->in_flight) + " requests in flight";
    }
    const auto service =
        millis{static_cast<std::int64_t>(chance(0.05) ? random_.below(500) : 2 + random_.below(8))};
    at(std::min(service, limit), [this, vm, run, work, to, is_answered = service < limit] {
        if (work->work->is_over) {
            return;
        }
        work->work->is_over = true;
        --to->in_flight;
        if (!to->is_up || !is_answered) {
            return;
        }
        ++to->good;
        ++answered;
        at(millis{1}, [this, vm, run, work, to] {
            on_run(vm, run, [this, vm, work, to] {
                auto& self = *nodes_[vm];
                if (!work->is_done) {
                    if (const auto release = self.gate->on_head(work->attempt, to->name, false)) {
                        give_back(self, *release);
                    }
                    end(self, work, to->is_up ? cold_outcome::success : cold_outcome::connection_lost);
                }
            });
        });
    });
}

void cold_simulation::end(node& it, const std::shared_ptr<request>& work, cold_outcome end) {
    if (std::exchange(work->is_done, true)) {
        return;
    }
    const auto link = std::ranges::find(it.pool, work->port, &node::connection::port);
    if (link != it.pool.end() && end != cold_outcome::not_sent) {
        link->is_busy = false;
        if (end != cold_outcome::success) {
            it.pool.erase(link);
        }
    }
    if (end == cold_outcome::abandoned) { // The upstream learns of the cancellation a little later.
        at(millis{2}, [work] {
            if (!std::exchange(work->work->is_over, true)) {
                --work->work->at->in_flight;
            }
        });
    }
    if (const auto release = it.gate->finish(work->attempt, end)) {
        give_back(it, *release);
    }
}

void cold_simulation::give_back(node& it, const permit_release& release) {
    const auto holder = it.holders.at(group);
    const auto serve = [this, release](node& peer) -> handler {
        peer.issuer->release(release, options_.limits, local(peer));
        return [] {};
    };
    if (holder == it.run) {
        serve(it);
    } else if (const auto address = it.view->rpc_address(holder)) {
        call(it.vm, std::stoul(*address), serve, [] {});
    }
}

void cold_simulation::take_news(node& it) {
    for (const auto& news : it.issuer->take_warm_reports()) {
        it.gate->on_warm_report(news, local(it));
        if (news.upstream_incarnation == upstream_->name && news.warm) {
            if (upstream_->good < options_.limits.warm_requests) {
                violation = upstream_->name + " declared warm too early";
            }
            upstream_->is_declared = true;
            warm_at = warm_at ? warm_at : now_;
        }
    }
}

void cold_simulation::restart_upstream() {
    upstream_->is_up = false;
    upstream_ = std::make_shared<process>();
    upstream_->name = "p" + std::to_string(++last_process_);
    warm_at.reset();
}

void cold_simulation::fault() {
    auto& it = *nodes_[random_.below(nodes_.size())];
    auto& holder = **std::ranges::max_element(
        nodes_, {}, [this](const auto& self) { return self->run == holders_.at(group) ? 1 : 0; });
    auto& victim = chance(0.5) ? holder : it;
    const auto length = millis{static_cast<std::int64_t>(50 + random_.below(900))};
    switch (random_.below(6)) {
    case 0:
        victim.paused_until = now_ + length;
        break;
    case 1: { // Killed; a new run starts on the vm. Its connections break.
        victim.is_up = false;
        at(length, [this, vm = victim.vm] {
            if (!nodes_[vm]->is_up) {
                start_node(vm);
            }
        });
        break;
    }
    case 2: // Restart without a sign.
        restart_upstream();
        break;
    case 3:
        victim.cut_until = now_ + length;
        break;
    case 4:
        log_down_until_ = now_ + length;
        break;
    default: // Some nodes read a VM list without a vm that is up, which may hear nothing at that time.
        missing_vm_ = victim.vm;
        for (auto& other : nodes_) {
            other->lied_to_until = chance(0.7) ? now_ + length : now_;
        }
        victim.cut_until = chance(0.6) ? now_ + length + length : victim.cut_until;
        break;
    }
    at(millis{static_cast<std::int64_t>(20 + random_.below(300))}, [this] { fault(); });
}

} // namespace berylcrank

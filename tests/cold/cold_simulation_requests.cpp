#include "tests/cold/cold_simulation_state.h"

namespace berylcrank {

void cold_simulation::generate_load(std::size_t vm) {
    auto& self = *nodes_[vm];
    const auto pending = std::make_shared<request>();
    if (self.gate->begin(pending->attempt, chance(0.1))) {
        send_request(self, pending);
    } else {
        request_permit(self, pending);
    }
    run_on_node(vm, millis{static_cast<std::int64_t>(5 + random_.below(20))},
                [this, vm] { generate_load(vm); });
}

void cold_simulation::request_permit(node& requester, const std::shared_ptr<request>& pending) {
    const auto holder = requester.holders.at(group);
    const auto sent_at = local_time(requester);
    const auto vm = requester.vm;
    const auto run = requester.run;
    const auto remote_handler = [this, pending, sent_at, vm, run](node& peer) -> handler {
        const auto response = peer.issuer->acquire(run, upstream_name, request_class::lookup, options_.limits,
                                                   local_time(peer));
        return [this, pending, sent_at, response, vm, from = peer.run] {
            auto& self = *nodes_[vm];
            if (!response.granted || pending->is_done || pending->attempt.permit()) {
                return;
            }
            const cold_permit permit{response.permit, upstream_name, from, sent_at + response.expires_after};
            pending->attempt.set_permit(permit, permit.run_limit(local_time(self), millis{10}));
            run_on_node(vm, chance(0.05) ? random_delay() : millis{1},
                        [this, vm, pending] { send_request(*nodes_[vm], pending); });
        };
    };
    if (holder == requester.run) {
        remote_handler(requester)();
    } else if (const auto address = requester.view->rpc_address(holder)) {
        call(vm, std::stoul(*address), remote_handler, [] {});
    }
}

void cold_simulation::send_request(node& self, const std::shared_ptr<request>& pending) {
    auto connection = std::ranges::find_if(self.pool, [](const auto& link) { return !link.is_busy; });
    const bool is_new = connection == self.pool.end() || chance(0.1);
    if (is_new) {
        if (self.pool.size() >= 4) {
            self.pool.erase(self.pool.begin());
        }
        // Few ports, so that they are reused soon.
        std::uint16_t port = 0;
        do {
            port = static_cast<std::uint16_t>(random_.below(6));
        } while (std::ranges::any_of(self.pool, [&](const auto& link) { return link.port == port; }));
        connection = self.pool.insert(self.pool.end(), {port, upstream_});
    }
    pending->port = connection->port;
    const bool may_send = self.gate->may_send(pending->attempt, connection->port,
                                              is_new && !options_.hides_new_connections, local_time(self));
    if (!may_send && !options_.ignores_check) {
        finish_request(self, pending, cold_outcome::not_sent);
        return;
    }
    connection->is_busy = true;
    pending->job = std::make_shared<upstream_job>(upstream_job{connection->to});
    const auto& permit = pending->attempt.permit();
    const bool is_limited = pending->attempt.is_permitted() && !options_.has_no_run_limit;
    const auto limit = is_limited ? permit->run_limit(local_time(self), millis{10}) : millis{400};
    schedule(millis::from_micros(static_cast<std::int64_t>(200 + random_.below(3000))),
             [this, vm = self.vm, pending, limit] { arrive_at_upstream(vm, pending, limit); });
    run_on_node(self.vm, limit, [this, vm = self.vm, pending] {
        if (!pending->is_done) {
            finish_request(*nodes_[vm], pending, cold_outcome::abandoned);
        }
    });
}

void cold_simulation::arrive_at_upstream(std::size_t vm, const std::shared_ptr<request>& pending,
                                         millis limit) {
    const auto to = pending->job->target;
    const auto run = nodes_[vm]->run;
    if (!to->is_up) {
        run_on_node(vm, millis{1}, [this, vm, pending] {
            finish_request(*nodes_[vm], pending, cold_outcome::connection_lost);
        });
        return;
    }
    ++to->in_flight;
    if (to->in_flight > options_.limits.concurrency && !to->is_declared_warm) {
        violation = to->name + " has " + std::to_string(to->in_flight) + " requests in flight";
    }
    const auto service =
        millis{static_cast<std::int64_t>(chance(0.05) ? random_.below(500) : 2 + random_.below(8))};
    schedule(std::min(service, limit), [this, vm, run, pending, to, is_completed = service < limit] {
        if (pending->job->is_finished) {
            return;
        }
        pending->job->is_finished = true;
        --to->in_flight;
        if (!to->is_up || !is_completed) {
            return;
        }
        ++to->successes;
        ++responses;
        schedule(millis{1}, [this, vm, run, pending, to] {
            run_if_current(vm, run, [this, vm, pending, to] {
                auto& self = *nodes_[vm];
                if (!pending->is_done) {
                    if (const auto release = self.gate->on_head(pending->attempt, to->name, false)) {
                        release_permit(self, *release);
                    }
                    finish_request(self, pending,
                                   to->is_up ? cold_outcome::success : cold_outcome::connection_lost);
                }
            });
        });
    });
}

void cold_simulation::finish_request(node& self, const std::shared_ptr<request>& pending,
                                     cold_outcome outcome) {
    if (std::exchange(pending->is_done, true)) {
        return;
    }
    const auto connection = std::ranges::find(self.pool, pending->port, &node::connection::port);
    if (connection != self.pool.end() && outcome != cold_outcome::not_sent) {
        connection->is_busy = false;
        if (outcome != cold_outcome::success) {
            self.pool.erase(connection);
        }
    }
    if (outcome == cold_outcome::abandoned) { // The upstream receives the cancellation later.
        schedule(millis{2}, [pending] {
            if (!std::exchange(pending->job->is_finished, true)) {
                --pending->job->target->in_flight;
            }
        });
    }
    if (const auto release = self.gate->finish(pending->attempt, outcome)) {
        release_permit(self, *release);
    }
}

void cold_simulation::release_permit(node& self, const permit_release& release) {
    const auto holder = self.holders.at(group);
    const auto remote_handler = [this, release](node& peer) -> handler {
        peer.issuer->release(release, options_.limits, local_time(peer));
        return [] {};
    };
    if (holder == self.run) {
        remote_handler(self);
    } else if (const auto address = self.view->rpc_address(holder)) {
        call(self.vm, std::stoul(*address), remote_handler, [] {});
    }
}

void cold_simulation::share_warm_reports(node& self) {
    for (const auto& report : self.issuer->take_warm_reports()) {
        self.gate->on_warm_report(report, local_time(self));
        if (report.upstream_incarnation == upstream_->name && report.warm) {
            if (upstream_->successes < options_.limits.warm_requests) {
                violation = upstream_->name + " declared warm too early";
            }
            upstream_->is_declared_warm = true;
            warm_at = warm_at ? warm_at : now_;
        }
    }
}

} // namespace berylcrank

#include "modules/berylcrank_gateway/state/state_follower.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::string_view source_name(record_source it) {
    return it == record_source::operators ? "operators" : "upstreams";
}

constexpr unsigned read_number_bits = 20; // bits of a read number that count the reads of one start
constexpr millis outage_window{700};      // after an outage, in which a removal may be a lapsed registration

} // namespace

std::string_view to_string(store_outcome it) {
    switch (it) {
    case store_outcome::ok:
        return "ok";
    case store_outcome::expired:
        return "expired";
    case store_outcome::refused:
        return "refused";
    case store_outcome::unavailable:
        return "unavailable";
    }
    return "unknown";
}

state_follower::state_follower(metadata_store& store, const clock& time, event_log& log,
                               follower_options options, std::uint64_t self, std::uint64_t incarnation,
                               const change_handler& changed)
    : store_(store), time_(time), log_(log), options_(options),
      sources_{source_state{.table = record_table([this, changed](const state_record& it) {
                                return changed(record_source::operators, it,
                                               time_.now() < of(record_source::operators).outage_window_end);
                            })},
               source_state{.table = record_table([this, changed](const state_record& it) {
                                return changed(record_source::upstreams, it,
                                               time_.now() < of(record_source::upstreams).outage_window_end);
                            })}},
      started_(time.now()), self_(self), last_read_number_(incarnation << read_number_bits) {}

bool state_follower::due(record_source source, std::size_t rank, instant now) const {
    const auto& it = of(source);
    if (it.reading || now < it.next_try) {
        return false;
    }
    const auto early_ranks = static_cast<std::size_t>(options_.early_ranks);
    const auto rank_delay = options_.rank_step * static_cast<double>(std::min(rank, early_ranks)) +
                            options_.late_rank_step * static_cast<double>(rank - std::min(rank, early_ranks));
    if (it.retry > millis{} && now < it.next_try + rank_delay) {
        return false; // after a failure, nodes of a higher rank retry less often
    }
    if (!it.table.complete()) {
        return now - started_ >=
               options_.first_read_delay + options_.first_read_step * static_cast<double>(rank);
    }
    if (source == record_source::operators) {
        return rank == 0 || now - it.table.confirmed() >= options_.operators_poll_wait + rank_delay;
    }
    return now - it.table.confirmed() >= options_.upstreams_refresh_age + rank_delay;
}

void state_follower::tick(std::size_t rank, instant now) {
    for (const auto source : {record_source::operators, record_source::upstreams}) {
        if (due(source, rank, now)) {
            read(source, now);
        }
    }
}

void state_follower::read(record_source source, instant now) {
    auto& it = of(source);
    it.reading = true;
    if (it.needs_snapshot) {
        store_.read_all(source, [this, source, now](const store_read_result& response) {
            on_read_done(source, response, true, now);
        });
        return;
    }
    const auto wait = source == record_source::operators ? options_.operators_poll_wait : millis{};
    store_.read_from(source, it.table.end(), wait,
                     [this, source, now, wait](const store_read_result& response) {
                         on_read_done(source, response, false,
                                      response.records.empty() ? std::min(now + wait, time_.now()) : now);
                     });
}

void state_follower::on_read_done(record_source source, const store_read_result& response, bool is_snapshot,
                                  instant confirmed_at) {
    auto& it = of(source);
    const auto now = time_.now();
    it.reading = false;
    if (response.outcome == store_outcome::expired) {
        it.needs_snapshot = true;
        return;
    }
    if (response.outcome != store_outcome::ok) {
        it.retry = std::clamp(it.retry * 2, options_.first_retry, options_.max_retry);
        it.next_try = now + it.retry;
        set_store_lost(true, source, response.outcome);
        return;
    }
    if (response.unreadable > 0) {
        log_.line("records-unreadable")
            .field("source", source_name(source))
            .field("count", static_cast<std::uint64_t>(response.unreadable))
            .send();
    }
    it.retry = millis{};
    it.next_try = now;
    set_store_lost(false, source, response.outcome);
    detect_outage_end(it, now);
    if (is_snapshot) {
        it.table.merge_snapshot(response.records, response.end, confirmed_at);
    } else {
        it.table.merge(response.records, response.end, confirmed_at);
    }
    it.needs_snapshot = false;
    it.reader = self_;
    it.read_number = ++last_read_number_;
    it.latest_reads[self_] = it.read_number;
    if (response.more) {
        read(source, now);
    }
}

void state_follower::detect_outage_end(source_state& it, instant now) const {
    if (it.table.complete() && now - it.table.confirmed() > options_.outage_threshold) {
        it.outage_window_end = now + outage_window;
    }
}

void state_follower::set_store_lost(bool lost, record_source source, store_outcome outcome) {
    if (store_lost_ == lost) {
        return;
    }
    store_lost_ = lost;
    log_.line(lost ? "store-lost" : "store-regained")
        .field("source", source_name(source))
        .field("outcome", to_string(outcome))
        .field("age_ms", age(source, time_.now()).count())
        .send();
}

bool state_follower::on_watermarks(const std::array<state_watermark, record_source_count>& watermarks,
                                   instant now) {
    bool behind = false;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        auto& it = sources_[i];
        if (!watermarks[i].complete) {
            continue;
        }
        if (!it.table.complete() || it.table.end() < watermarks[i].last_change_end) {
            behind = true;
        } else if (accept_confirmation(it, watermarks[i])) {
            detect_outage_end(it, now);
            it.table.extend(watermarks[i].last_change_end, watermarks[i].end,
                            now - watermarks[i].age - options_.message_delay);
        }
    }
    return behind;
}

bool state_follower::accept_confirmation(source_state& it, const state_watermark& watermark) const {
    auto& seen = it.latest_reads[watermark.reader];
    if (watermark.read_number <= seen) {
        return false;
    }
    seen = watermark.read_number;
    it.reader = watermark.reader;
    it.read_number = watermark.read_number;
    return true;
}

void state_follower::merge(const state_response& response, instant now) {
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& watermark = response[i].watermark;
        auto& it = sources_[i];
        if (!watermark.complete) {
            continue;
        }
        detect_outage_end(it, now);
        const bool newer = accept_confirmation(it, watermark);
        const auto confirmed_at = newer ? now - watermark.age - options_.message_delay : it.table.confirmed();
        it.table.merge(response[i].records, watermark.end, confirmed_at);
        it.needs_snapshot = false;
    }
}

state_response state_follower::state_since(const std::array<std::uint64_t, record_source_count>& from,
                                           instant now) const {
    state_response result;
    const auto own = watermarks(now);
    for (std::size_t i = 0; i < record_source_count; ++i) {
        result[i].watermark = own[i];
        if (own[i].complete) {
            result[i].records = sources_[i].table.since(from[i]);
        }
    }
    return result;
}

std::array<state_watermark, record_source_count> state_follower::watermarks(instant now) const {
    std::array<state_watermark, record_source_count> result;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& table = sources_[i].table;
        result[i] = {.complete = table.complete(),
                     .end = table.end(),
                     .age = now - table.confirmed(),
                     .reader = sources_[i].reader,
                     .read_number = sources_[i].read_number,
                     .last_change_end = table.changed()};
    }
    return result;
}

bool state_follower::complete() const {
    return std::all_of(sources_.begin(), sources_.end(), [](const auto& it) { return it.table.complete(); });
}

} // namespace berylcrank

#include "modules/berylcrank_gateway/state/state_follower.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::string_view source_name(record_source it) {
    return it == record_source::operators ? "operators" : "upstreams";
}

constexpr unsigned read_bits = 20;  // reads of one start, within the number of a read
constexpr millis lapse_window{700}; // after an outage, removals that the first reads bring

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
    : store_(store), time_(time), log_(log),
      options_(options), follows_{follow{.book = record_table([this, changed](const state_record& it) {
                                             return changed(record_source::operators, it,
                                                            time_.now() <
                                                                of(record_source::operators).outage_over);
                                         })},
                                  follow{.book = record_table([this, changed](const state_record& it) {
                                             return changed(record_source::upstreams, it,
                                                            time_.now() <
                                                                of(record_source::upstreams).outage_over);
                                         })}},
      started_(time.now()), self_(self), next_read_(incarnation << read_bits) {}

bool state_follower::due(record_source source, std::size_t rank, instant now) const {
    const auto& it = of(source);
    if (it.reading || now < it.next_try) {
        return false;
    }
    const auto ranks = static_cast<std::size_t>(options_.ranks);
    const auto place = options_.rank_step * static_cast<double>(std::min(rank, ranks)) +
                       options_.late_rank_step * static_cast<double>(rank - std::min(rank, ranks));
    if (it.retry > millis{} && now < it.next_try + place) {
        return false; // the store failed: the later a node's place, the rarer it tries
    }
    if (!it.book.complete()) {
        return now - started_ >= options_.first_read + options_.first_step * static_cast<double>(rank);
    }
    if (source == record_source::operators) {
        return rank == 0 || now - it.book.confirmed() >= options_.operators_wait + place;
    }
    return now - it.book.confirmed() >= options_.upstreams_interval + place;
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
    if (it.read_everything) {
        store_.read_all(source,
                        [this, source, now](const store_read& answer) { took(source, answer, true, now); });
        return;
    }
    const auto wait = source == record_source::operators ? options_.operators_wait : millis{};
    store_.read_from(source, it.book.end(), wait, [this, source, now, wait](const store_read& answer) {
        took(source, answer, false, answer.records.empty() ? std::min(now + wait, time_.now()) : now);
    });
}

void state_follower::took(record_source source, const store_read& answer, bool everything, instant vouched) {
    auto& it = of(source);
    const auto now = time_.now();
    it.reading = false;
    if (answer.outcome == store_outcome::expired) {
        it.read_everything = true;
        return;
    }
    if (answer.outcome != store_outcome::ok) {
        it.retry = std::clamp(it.retry * 2, options_.first_retry, options_.longest_retry);
        it.next_try = now + it.retry;
        note_store(true, source, answer.outcome);
        return;
    }
    it.retry = millis{};
    it.next_try = now;
    note_store(false, source, answer.outcome);
    note_return(it, now);
    if (everything) {
        it.book.merge_snapshot(answer.records, answer.end, vouched);
    } else {
        it.book.merge(answer.records, answer.end, vouched);
    }
    it.read_everything = false;
    it.reader = self_;
    it.read = ++next_read_;
    it.reads_seen[self_] = it.read;
    if (answer.more) {
        read(source, now);
    }
}

void state_follower::note_return(follow& it, instant now) const {
    if (it.book.complete() && now - it.book.confirmed() > options_.outage) {
        it.outage_over = now + lapse_window;
    }
}

void state_follower::note_store(bool lost, record_source source, store_outcome outcome) {
    if (lost_ == lost) {
        return;
    }
    lost_ = lost;
    log_.line(lost ? "store-lost" : "store-regained")
        .field("source", source_name(source))
        .field("outcome", to_string(outcome))
        .field("age_ms", age(source, time_.now()).count())
        .send();
}

bool state_follower::hear(const std::array<state_mark, record_source_count>& marks, instant now) {
    bool behind = false;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        auto& it = follows_[i];
        if (!marks[i].complete) {
            continue;
        }
        if (!it.book.complete() || it.book.end() < marks[i].changed) {
            behind = true;
        } else if (take_word(it, marks[i])) {
            note_return(it, now);
            it.book.extend(marks[i].changed, marks[i].end, now - marks[i].age - options_.message_delay);
        }
    }
    return behind;
}

bool state_follower::take_word(follow& it, const state_mark& mark) const {
    auto& seen = it.reads_seen[mark.reader];
    if (mark.read <= seen) {
        return false;
    }
    seen = mark.read;
    it.reader = mark.reader;
    it.read = mark.read;
    return true;
}

void state_follower::merge(const state_answer& answer, instant now) {
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& mark = answer[i].mark;
        auto& it = follows_[i];
        if (!mark.complete) {
            continue;
        }
        note_return(it, now);
        const bool newer = take_word(it, mark);
        const auto vouched = newer ? now - mark.age - options_.message_delay : it.book.confirmed();
        it.book.merge(answer[i].records, mark.end, vouched);
        it.read_everything = false;
    }
}

state_answer state_follower::give(const std::array<std::uint64_t, record_source_count>& from,
                                  instant now) const {
    state_answer result;
    const auto own = marks(now);
    for (std::size_t i = 0; i < record_source_count; ++i) {
        result[i].mark = own[i];
        if (own[i].complete) {
            result[i].records = follows_[i].book.since(from[i]);
        }
    }
    return result;
}

std::array<state_mark, record_source_count> state_follower::marks(instant now) const {
    std::array<state_mark, record_source_count> result;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& book = follows_[i].book;
        result[i] = {.complete = book.complete(),
                     .end = book.end(),
                     .age = now - book.confirmed(),
                     .reader = follows_[i].reader,
                     .read = follows_[i].read,
                     .changed = book.changed()};
    }
    return result;
}

bool state_follower::complete() const {
    return std::all_of(follows_.begin(), follows_.end(), [](const auto& it) { return it.book.complete(); });
}

} // namespace berylcrank

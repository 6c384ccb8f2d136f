#include "modules/berylcrank_suspect/message/suspect_codec.h"

#include <algorithm>
#include <limits>

namespace berylcrank {

namespace {

constexpr std::size_t max_losses = 64; // limits the work that a malformed message can cause

std::uint32_t age_ms(instant now, instant when) {
    constexpr std::int64_t max_age = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>((now - when).count(), 0, max_age));
}

} // namespace

void encode(const suspect_report& it, instant now, schema::Suspect::Builder to) {
    to.setFingerprint(it.fingerprint);
    auto losses = to.initLosses(static_cast<unsigned>(it.losses.size()));
    for (unsigned i = 0; i < it.losses.size(); ++i) {
        losses[i].setUpstream(it.losses[i].upstream);
        losses[i].setRun(it.losses[i].run);
        losses[i].setSentAgeMs(age_ms(now, it.losses[i].sent_at));
        losses[i].setLostAgeMs(age_ms(now, it.losses[i].lost_at));
        losses[i].setClosed(it.losses[i].closed);
    }
    if (it.cleared_at) {
        to.setCleared(true);
        to.setClearedAgeMs(age_ms(now, *it.cleared_at));
    }
    if (it.trial_started) {
        to.setInTrial(true);
        to.setTrialAgeMs(age_ms(now, *it.trial_started));
    }
}

suspect_report decode(schema::Suspect::Reader it, instant now) {
    suspect_report result{.fingerprint = it.getFingerprint()};
    if (it.getCleared()) {
        result.cleared_at = now - millis{it.getClearedAgeMs()};
    }
    if (it.getInTrial()) {
        result.trial_started = now - millis{it.getTrialAgeMs()};
    }
    for (const auto loss : it.getLosses()) {
        if (result.losses.size() >= max_losses) {
            break;
        }
        result.losses.push_back({.upstream = loss.getUpstream(),
                                 .run = loss.getRun(),
                                 .sent_at = now - millis{loss.getSentAgeMs()},
                                 .lost_at = now - millis{loss.getLostAgeMs()},
                                 .closed = loss.getClosed()});
    }
    return result;
}

} // namespace berylcrank

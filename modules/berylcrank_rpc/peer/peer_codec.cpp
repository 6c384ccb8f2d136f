#include "modules/berylcrank_rpc/peer/peer_codec.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** Longer durations from a peer are clamped to this, so that arithmetic with them cannot overflow. */
constexpr std::int64_t max_duration_ms = 1LL << 40U;

capnp::Text::Reader as_text(const std::string& it) {
    return {it.c_str(), it.size()};
}

std::string decode_text(capnp::Text::Reader it) {
    return {it.begin(), it.size()};
}

millis decode_ms(std::int64_t it) {
    return millis{std::clamp<std::int64_t>(it, 0, max_duration_ms)};
}

std::int64_t encode_age(const std::optional<millis>& it) {
    return it.has_value() ? std::max<std::int64_t>(it->count(), 0) : -1;
}

std::optional<millis> decode_age(std::int64_t it) {
    return it < 0 ? std::nullopt : std::optional{decode_ms(it)};
}

void encode_headers(const std::vector<order_header>& it, capnp::List<schema::Header>::Builder out) {
    for (capnp::uint n = 0; n < out.size(); ++n) {
        out[n].setName(as_text(it[n].first));
        out[n].setValue(as_text(it[n].second));
    }
}

std::vector<order_header> decode_headers(capnp::List<schema::Header>::Reader it) {
    std::vector<order_header> out;
    for (const auto header : it) {
        out.emplace_back(decode_text(header.getName()), decode_text(header.getValue()));
    }
    return out;
}

schema::Verdict encode_verdict(run_verdict it) {
    switch (it) {
    case run_verdict::not_run:
        return schema::Verdict::NOT_RUN;
    case run_verdict::ran:
        return schema::Verdict::RAN;
    case run_verdict::may_have_run:
        break;
    }
    return schema::Verdict::MAY_HAVE_RUN;
}

run_verdict decode_verdict(schema::Verdict it) {
    switch (it) {
    case schema::Verdict::NOT_RUN:
        return run_verdict::not_run;
    case schema::Verdict::RAN:
        return run_verdict::ran;
    case schema::Verdict::MAY_HAVE_RUN:
        break;
    }
    return run_verdict::may_have_run;
}

permit_outcome decode_outcome(schema::PermitOutcome it) {
    switch (it) {
    case schema::PermitOutcome::GOOD:
        return permit_outcome::good;
    case schema::PermitOutcome::FAILED:
        return permit_outcome::failed;
    case schema::PermitOutcome::UNUSED:
        break;
    }
    return permit_outcome::unused;
}

template <typename Plain, typename List>
void encode_all(const std::vector<Plain>& it, List out) {
    for (capnp::uint n = 0; n < out.size(); ++n) {
        encode(it[n], out[n]);
    }
}

template <typename List>
auto decode_all(List it) {
    std::vector<decltype(decode(it[0]))> out;
    for (const auto element : it) {
        out.push_back(decode(element));
    }
    return out;
}

capnp::uint count(std::size_t it) {
    return static_cast<capnp::uint>(it);
}

} // namespace

void encode(const peer_info& it, schema::PeerInfo::Builder out) {
    out.setVm(as_text(it.vm));
    out.setIncarnation(it.run.value);
    out.setFailureDomain(as_text(it.failure_domain));
    out.setHttpAddress(as_text(it.http_address));
    out.setRpcAddress(as_text(it.rpc_address));
    out.setLeaving(it.leaving);
    out.setStarting(it.starting);
    out.setHeardAgoMs(encode_age(it.heartbeat_age));
}

peer_info decode(schema::PeerInfo::Reader it) {
    return {.vm = decode_text(it.getVm()),
            .run = {it.getIncarnation()},
            .failure_domain = decode_text(it.getFailureDomain()),
            .http_address = decode_text(it.getHttpAddress()),
            .rpc_address = decode_text(it.getRpcAddress()),
            .leaving = it.getLeaving(),
            .starting = it.getStarting(),
            .heartbeat_age = decode_age(it.getHeardAgoMs())};
}

void encode(const warm_report& it, schema::WarmNews::Builder out) {
    out.setUpstream(as_text(it.upstream));
    out.setIncarnation(as_text(it.upstream_incarnation));
    out.setWarm(it.warm);
    out.setSequence(it.sequence);
    out.setHolder(it.holder.value);
}

warm_report decode(schema::WarmNews::Reader it) {
    return {.upstream = decode_text(it.getUpstream()),
            .upstream_incarnation = decode_text(it.getIncarnation()),
            .warm = it.getWarm(),
            .sequence = it.getSequence(),
            .holder = {it.getHolder()}};
}

void encode(const gossip_message& it, schema::Gossip::Builder out) {
    encode(it.sender, out.initSender());
    out.setAppliedOffset(it.applied_offset);
    out.setStateDigest(it.state_digest);
    out.setFreshAgoMs(encode_age(it.freshness_age));
    out.setLogReachable(it.log_reachable);
    encode_all(it.peers, out.initPeers(count(it.peers.size())));
    encode_all(it.warm, out.initWarm(count(it.warm.size())));
    encode_all(it.crashes, out.initCrashes(count(it.crashes.size())));
}

gossip_message decode(schema::Gossip::Reader it) {
    return {.sender = decode(it.getSender()),
            .applied_offset = it.getAppliedOffset(),
            .state_digest = it.getStateDigest(),
            .freshness_age = decode_age(it.getFreshAgoMs()),
            .log_reachable = it.getLogReachable(),
            .peers = decode_all(it.getPeers()),
            .warm = decode_all(it.getWarm()),
            .crashes = decode_all(it.getCrashes())};
}

void encode(const order_request& it, schema::OrderRequest::Builder out) {
    out.setId(as_text(it.id));
    out.setService(as_text(it.service));
    out.setMethod(as_text(it.method));
    out.setPath(as_text(it.path));
    encode_headers(it.headers, out.initHeaders(count(it.headers.size())));
    out.setBody(as_data(it.body));
    out.setTimeoutMs(it.timeout.count());
}

order_request decode(schema::OrderRequest::Reader it) {
    return {.id = decode_text(it.getId()),
            .service = decode_text(it.getService()),
            .method = decode_text(it.getMethod()),
            .path = decode_text(it.getPath()),
            .headers = decode_headers(it.getHeaders()),
            .body = decode(it.getBody()),
            .timeout = decode_ms(it.getTimeoutMs())};
}

void encode(const order_response& it, schema::OrderAnswer::Builder out) {
    out.setVerdict(encode_verdict(it.verdict));
    out.setStatus(static_cast<std::uint16_t>(it.status));
    encode_headers(it.headers, out.initHeaders(count(it.headers.size())));
    out.setBody(as_data(it.body));
    out.setReason(as_text(it.reason));
    out.setIdPrefix(as_text(it.id_prefix));
}

order_response decode(schema::OrderAnswer::Reader it) {
    return {.verdict = decode_verdict(it.getVerdict()),
            .status = it.getStatus(),
            .headers = decode_headers(it.getHeaders()),
            .body = decode(it.getBody()),
            .reason = decode_text(it.getReason()),
            .id_prefix = decode_text(it.getIdPrefix())};
}

void encode(const permit_answer& it, schema::PermitAnswer::Builder out) {
    out.setGranted(it.granted);
    out.setPermit(it.permit);
    out.setLapseMs(it.expires_after.count());
    out.setRetryAfterMs(it.retry_after.count());
    out.setIsHolder(it.is_holder);
}

permit_answer decode(schema::PermitAnswer::Reader it) {
    return {.granted = it.getGranted(),
            .permit = it.getPermit(),
            .expires_after = decode_ms(it.getLapseMs()),
            .retry_after = decode_ms(it.getRetryAfterMs()),
            .is_holder = it.getIsHolder()};
}

void encode(const permit_release& it, schema::Peer::ReleasePermitParams::Builder out) {
    out.setPermit(it.permit);
    out.setUpstream(as_text(it.upstream));
    out.setOutcome(static_cast<schema::PermitOutcome>(it.outcome));
    out.setUpstreamIncarnation(as_text(it.upstream_incarnation));
    out.setReportedCold(it.reported_cold);
}

permit_release decode(schema::Peer::ReleasePermitParams::Reader it) {
    return {.permit = it.getPermit(),
            .upstream = decode_text(it.getUpstream()),
            .outcome = decode_outcome(it.getOutcome()),
            .upstream_incarnation = decode_text(it.getUpstreamIncarnation()),
            .reported_cold = it.getReportedCold()};
}

void encode(const crash_report& it, schema::CrashNews::Builder out) {
    out.setFingerprint(it.fingerprint);
    out.setUpstream(as_text(it.upstream));
    out.setUpstreamIncarnation(as_text(it.upstream_incarnation));
    out.setInFlight(it.in_flight);
    out.setReporter(it.reporter.value);
}

crash_report decode(schema::CrashNews::Reader it) {
    return {.fingerprint = it.getFingerprint(),
            .upstream = decode_text(it.getUpstream()),
            .upstream_incarnation = decode_text(it.getUpstreamIncarnation()),
            .in_flight = it.getInFlight(),
            .reporter = {it.getReporter()}};
}

std::vector<crash_report> decode(capnp::List<schema::CrashNews>::Reader it) {
    return decode_all(it);
}

std::string decode(capnp::Data::Reader it) {
    return {reinterpret_cast<const char*>(it.begin()), it.size()};
}

capnp::Data::Reader as_data(const std::string& it) {
    return {reinterpret_cast<const kj::byte*>(it.data()), it.size()};
}

} // namespace berylcrank

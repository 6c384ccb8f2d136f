#include "modules/berylcrank_rpc/peer/peer_codec.h"

#include "modules/berylcrank_suspect/message/suspect_codec.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** Longer durations from a peer are clamped to this, so that arithmetic with them cannot overflow. */
constexpr std::int64_t max_duration_ms = 1LL << 40U;

capnp::Text::Reader as_text(const std::string& text) {
    return {text.c_str(), text.size()};
}

std::string decode_text(capnp::Text::Reader text) {
    return {text.begin(), text.size()};
}

millis decode_ms(std::int64_t ms) {
    return millis{std::clamp<std::int64_t>(ms, 0, max_duration_ms)};
}

std::int64_t encode_age(const std::optional<millis>& age) {
    return age.has_value() ? std::max<std::int64_t>(age->count(), 0) : -1;
}

std::optional<millis> decode_age(std::int64_t ms) {
    return ms < 0 ? std::nullopt : std::optional{decode_ms(ms)};
}

void encode_headers(const std::vector<order_header>& headers, capnp::List<schema::Header>::Builder out) {
    for (capnp::uint n = 0; n < out.size(); ++n) {
        out[n].setName(as_text(headers[n].first));
        out[n].setValue(as_text(headers[n].second));
    }
}

std::vector<order_header> decode_headers(capnp::List<schema::Header>::Reader reader) {
    std::vector<order_header> out;
    for (const auto header : reader) {
        out.emplace_back(decode_text(header.getName()), decode_text(header.getValue()));
    }
    return out;
}

schema::Verdict encode_verdict(run_verdict verdict) {
    switch (verdict) {
    case run_verdict::not_run:
        return schema::Verdict::NOT_RUN;
    case run_verdict::ran:
        return schema::Verdict::RAN;
    case run_verdict::may_have_run:
        break;
    }
    return schema::Verdict::MAY_HAVE_RUN;
}

run_verdict decode_verdict(schema::Verdict value) {
    switch (value) {
    case schema::Verdict::NOT_RUN:
        return run_verdict::not_run;
    case schema::Verdict::RAN:
        return run_verdict::ran;
    case schema::Verdict::MAY_HAVE_RUN:
        break;
    }
    return run_verdict::may_have_run;
}

permit_outcome decode_outcome(schema::PermitOutcome value) {
    switch (value) {
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
void encode_all(const std::vector<Plain>& items, List out) {
    for (capnp::uint n = 0; n < out.size(); ++n) {
        encode(items[n], out[n]);
    }
}

template <typename List>
auto decode_all(List list) {
    std::vector<decltype(decode(list[0]))> out;
    for (const auto element : list) {
        out.push_back(decode(element));
    }
    return out;
}

capnp::uint count(std::size_t n) {
    return static_cast<capnp::uint>(n);
}

} // namespace

void encode(const peer_info& info, schema::PeerInfo::Builder out) {
    out.setVm(as_text(info.vm));
    out.setIncarnation(info.run.value);
    out.setFailureDomain(as_text(info.failure_domain));
    out.setHttpAddress(as_text(info.http_address));
    out.setRpcAddress(as_text(info.rpc_address));
    out.setLeaving(info.leaving);
    out.setStarting(info.starting);
    out.setHeardAgoMs(encode_age(info.heartbeat_age));
}

peer_info decode(schema::PeerInfo::Reader reader) {
    return {.vm = decode_text(reader.getVm()),
            .run = {reader.getIncarnation()},
            .failure_domain = decode_text(reader.getFailureDomain()),
            .http_address = decode_text(reader.getHttpAddress()),
            .rpc_address = decode_text(reader.getRpcAddress()),
            .leaving = reader.getLeaving(),
            .starting = reader.getStarting(),
            .heartbeat_age = decode_age(reader.getHeardAgoMs())};
}

void encode(const warm_report& report, schema::WarmNews::Builder out) {
    out.setUpstream(as_text(report.upstream));
    out.setIncarnation(as_text(report.upstream_incarnation));
    out.setWarm(report.warm);
    out.setSequence(report.sequence);
    out.setHolder(report.holder.value);
}

warm_report decode(schema::WarmNews::Reader reader) {
    return {.upstream = decode_text(reader.getUpstream()),
            .upstream_incarnation = decode_text(reader.getIncarnation()),
            .warm = reader.getWarm(),
            .sequence = reader.getSequence(),
            .holder = {reader.getHolder()}};
}

void encode(const gossip_message& message, schema::Gossip::Builder out) {
    encode(message.sender, out.initSender());
    out.setAppliedOffset(message.applied_offset);
    out.setStateDigest(message.state_digest);
    out.setFreshAgoMs(encode_age(message.freshness_age));
    out.setLogReachable(message.log_reachable);
    encode_all(message.peers, out.initPeers(count(message.peers.size())));
    encode_all(message.warm, out.initWarm(count(message.warm.size())));
    encode_all(message.crashes, out.initCrashes(count(message.crashes.size())));
    auto suspects = out.initSuspects(count(message.suspects.size()));
    for (unsigned n = 0; n < suspects.size(); ++n) {
        encode(message.suspects[n], instant{}, suspects[n]);
    }
}

gossip_message decode(schema::Gossip::Reader reader) {
    std::vector<suspect_report> suspects;
    for (const auto it : reader.getSuspects()) {
        suspects.push_back(decode(it, instant{}));
    }
    return {.sender = decode(reader.getSender()),
            .applied_offset = reader.getAppliedOffset(),
            .state_digest = reader.getStateDigest(),
            .freshness_age = decode_age(reader.getFreshAgoMs()),
            .log_reachable = reader.getLogReachable(),
            .peers = decode_all(reader.getPeers()),
            .warm = decode_all(reader.getWarm()),
            .crashes = decode_all(reader.getCrashes()),
            .suspects = std::move(suspects)};
}

void encode(const order_request& order, schema::OrderRequest::Builder out) {
    out.setId(as_text(order.id));
    out.setService(as_text(order.service));
    out.setMethod(as_text(order.method));
    out.setPath(as_text(order.path));
    encode_headers(order.headers, out.initHeaders(count(order.headers.size())));
    out.setBody(as_data(order.body));
    out.setTimeoutMs(order.timeout.count());
}

order_request decode(schema::OrderRequest::Reader reader) {
    return {.id = decode_text(reader.getId()),
            .service = decode_text(reader.getService()),
            .method = decode_text(reader.getMethod()),
            .path = decode_text(reader.getPath()),
            .headers = decode_headers(reader.getHeaders()),
            .body = decode(reader.getBody()),
            .timeout = decode_ms(reader.getTimeoutMs())};
}

void encode(const order_response& response, schema::OrderAnswer::Builder out) {
    out.setVerdict(encode_verdict(response.verdict));
    out.setStatus(static_cast<std::uint16_t>(response.status));
    encode_headers(response.headers, out.initHeaders(count(response.headers.size())));
    out.setBody(as_data(response.body));
    out.setReason(as_text(response.reason));
    out.setIdPrefix(as_text(response.id_prefix));
}

order_response decode(schema::OrderAnswer::Reader reader) {
    return {.verdict = decode_verdict(reader.getVerdict()),
            .status = reader.getStatus(),
            .headers = decode_headers(reader.getHeaders()),
            .body = decode(reader.getBody()),
            .reason = decode_text(reader.getReason()),
            .id_prefix = decode_text(reader.getIdPrefix())};
}

void encode(const permit_response& response, schema::PermitAnswer::Builder out) {
    out.setGranted(response.granted);
    out.setPermit(response.permit);
    out.setLapseMs(response.expires_after.count());
    out.setRetryAfterMs(response.retry_after.count());
    out.setIsHolder(response.is_holder);
}

permit_response decode(schema::PermitAnswer::Reader reader) {
    return {.granted = reader.getGranted(),
            .permit = reader.getPermit(),
            .expires_after = decode_ms(reader.getLapseMs()),
            .retry_after = decode_ms(reader.getRetryAfterMs()),
            .is_holder = reader.getIsHolder()};
}

void encode(const permit_release& release, schema::Peer::ReleasePermitParams::Builder out) {
    out.setPermit(release.permit);
    out.setUpstream(as_text(release.upstream));
    out.setOutcome(static_cast<schema::PermitOutcome>(release.outcome));
    out.setUpstreamIncarnation(as_text(release.upstream_incarnation));
    out.setReportedCold(release.reported_cold);
}

permit_release decode(schema::Peer::ReleasePermitParams::Reader reader) {
    return {.permit = reader.getPermit(),
            .upstream = decode_text(reader.getUpstream()),
            .outcome = decode_outcome(reader.getOutcome()),
            .upstream_incarnation = decode_text(reader.getUpstreamIncarnation()),
            .reported_cold = reader.getReportedCold()};
}

void encode(const crash_report& report, schema::CrashNews::Builder out) {
    out.setFingerprint(report.fingerprint);
    out.setUpstream(as_text(report.upstream));
    out.setUpstreamIncarnation(as_text(report.upstream_incarnation));
    out.setInFlight(report.in_flight);
    out.setReporter(report.reporter.value);
}

crash_report decode(schema::CrashNews::Reader reader) {
    return {.fingerprint = reader.getFingerprint(),
            .upstream = decode_text(reader.getUpstream()),
            .upstream_incarnation = decode_text(reader.getUpstreamIncarnation()),
            .in_flight = reader.getInFlight(),
            .reporter = {reader.getReporter()}};
}

std::vector<crash_report> decode(capnp::List<schema::CrashNews>::Reader reports) {
    return decode_all(reports);
}

std::string decode(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader as_data(const std::string& bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

} // namespace berylcrank

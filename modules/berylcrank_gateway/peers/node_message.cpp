#include "modules/berylcrank_gateway/peers/node_message.h"

#include "modules/berylcrank_suspect/message/suspect_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <cstring>
#include <fleet.capnp.h>
#include <kj/io.h>
#include <zlib.h>

namespace berylcrank {

namespace {

constexpr std::uint32_t max_inflated = 64U << 20U; // bytes of a state response
constexpr std::size_t size_bytes = 4;
constexpr std::size_t scratch_words = 1024;
// Limits of the work and memory that a malformed message can cause.
constexpr std::uint64_t datagram_words = 64U << 10U;
constexpr std::uint64_t state_words = 8U << 20U;
constexpr std::size_t max_list_entries = 16384; // of each list of a datagram
constexpr std::size_t max_deflate_ratio = 1100; // zlib compresses to no less than a 1032th
constexpr std::size_t max_text_bytes = 255;     // of each text that describes a node

template <typename Number>
Number clamped(double value) {
    return static_cast<Number>(
        std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Number>::max())));
}

std::string packed(capnp::MessageBuilder& it) {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, it);
    const auto bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

// Returns the inflated size followed by the deflated bytes. Compression reduces a configuration of a thousand
// routes to a seventh, which matters on slow links.
std::string deflated(const std::string& bytes) {
    uLongf n = compressBound(bytes.size());
    std::string result(size_bytes + n, '\0');
    const auto size = static_cast<std::uint32_t>(bytes.size());
    std::memcpy(result.data(), &size, size_bytes);
    if (compress2(reinterpret_cast<Bytef*>(result.data() + size_bytes), &n,
                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED) != Z_OK) {
        return {}; // the other node cannot decode an empty response and requests it again
    }
    result.resize(size_bytes + n);
    return result;
}

std::optional<std::string> inflated(std::string_view bytes) {
    std::uint32_t size = 0;
    if (bytes.size() < size_bytes) {
        return std::nullopt;
    }
    std::memcpy(&size, bytes.data(), size_bytes);
    if (size > max_inflated || size / max_deflate_ratio > bytes.size()) {
        return std::nullopt;
    }
    std::string result(size, '\0');
    uLongf n = size;
    if (uncompress(reinterpret_cast<Bytef*>(result.data()), &n,
                   reinterpret_cast<const Bytef*>(bytes.data() + size_bytes),
                   bytes.size() - size_bytes) != Z_OK ||
        n != size) {
        return std::nullopt;
    }
    return result;
}

template <typename Reader, typename Read>
bool unpack(std::string_view bytes, std::uint64_t max_words, Read read) {
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        // Avoids an allocation for most messages. Static because one thread decodes all messages.
        static std::array<capnp::word, scratch_words> scratch;
        capnp::PackedMessageReader message(in, {.traversalLimitInWords = max_words},
                                           kj::arrayPtr(scratch.data(), scratch.size()));
        read(message.getRoot<Reader>());
        return true;
    } catch (const kj::Exception&) {
        return false; // the caller counts and logs messages that it cannot decode
    }
}

void write(schema::NodeInfo::Builder to, const node_info& it) {
    to.setName(it.name);
    to.setIp(it.ip);
    to.setGossipPort(it.gossip_port);
    to.setFrontAddress(it.front_address);
    to.setFailureDomain(it.failure_domain);
    to.setIncarnation(it.incarnation);
    to.setCapacity(it.capacity);
    to.setRegistered(it.registered);
}

node_info read_info(schema::NodeInfo::Reader it) {
    return {.name = it.getName().cStr(),
            .ip = it.getIp().cStr(),
            .gossip_port = it.getGossipPort(),
            .front_address = it.getFrontAddress().cStr(),
            .failure_domain = it.getFailureDomain().cStr(),
            .incarnation = it.getIncarnation(),
            .capacity = it.getCapacity(),
            .registered = it.getRegistered()};
}

void write(schema::RosterEntry::Builder to, const roster_entry& it) {
    to.setNode(it.number);
    to.setIncarnation(it.incarnation);
    to.setBeat(it.beat);
    to.setReady(it.ready);
    to.setBlind(it.blind);
}

void write(schema::StateMark::Builder to, const state_watermark& it) {
    to.setComplete(it.complete);
    to.setEnd(it.end);
    to.setAgeMs(clamped<std::uint32_t>(it.age.value()));
    to.setChanged(it.last_change_end);
    to.setReader(it.reader);
    to.setRead(it.read_number);
    to.setEpoch(it.epoch);
    to.setRestoredEnd(it.restored_end);
}

state_watermark read_watermark(schema::StateMark::Reader it) {
    return {.complete = it.getComplete(),
            .end = it.getEnd(),
            .age = millis{it.getAgeMs()},
            .reader = it.getReader(),
            .read_number = it.getRead(),
            .last_change_end = it.getChanged(),
            .epoch = it.getEpoch(),
            .restored_end = it.getRestoredEnd()};
}

void write(schema::LoadNews::Builder to, const load_update& it, instant now) {
    to.setUpstream(it.upstream);
    to.setGood(clamped<std::uint8_t>(it.outcomes.good));
    to.setBad(clamped<std::uint8_t>(it.outcomes.bad));
    to.setUnreachable(it.unreachable);
    if (it.warm_up_left) {
        to.setHasCold(true);
        to.setColdLeftMs(clamped<std::uint16_t>(it.warm_up_left->value()));
    }
    if (it.report) {
        to.setHasReport(true);
        to.setRunning(clamped<std::uint8_t>(it.report->running));
        to.setWaiting(clamped<std::uint8_t>(it.report->waiting));
        to.setSlots(clamped<std::uint8_t>(it.report->slots));
        to.setSlowness(clamped<std::uint16_t>(it.report->slowness * 100));
        to.setAgeMs(clamped<std::uint16_t>((now - it.report->at).value()));
        to.setConnectionAgeMs(clamped<std::uint32_t>((now - it.report->connected_at).value()));
    }
}

load_update read_load_update(schema::LoadNews::Reader it, instant now) {
    load_update result{
        .upstream = it.getUpstream(),
        .outcomes = {.good = static_cast<double>(it.getGood()), .bad = static_cast<double>(it.getBad())},
        .unreachable = it.getUnreachable()};
    if (it.getHasCold()) {
        result.warm_up_left = millis{it.getColdLeftMs()};
    }
    if (it.getHasReport()) {
        result.report = load_snapshot{.running = it.getRunning(),
                                      .waiting = it.getWaiting(),
                                      .slots = it.getSlots(),
                                      .slowness = it.getSlowness() / 100.0,
                                      .at = now - millis{it.getAgeMs()},
                                      .connected_at = now - millis{it.getConnectionAgeMs()}};
    }
    return result;
}

void write(capnp::List<schema::Waiting>::Builder to, const std::vector<waiting_count>& counts) {
    for (unsigned i = 0; i < counts.size(); ++i) {
        to[i].setService(counts[i].service);
        to[i].setOnTime(clamped<std::uint16_t>(counts[i].on_time));
        to[i].setLate(clamped<std::uint16_t>(counts[i].late));
        to[i].setPerSecond(clamped<std::uint16_t>(counts[i].per_second));
    }
}

void read_nodes(schema::NodeMessage::Reader it, node_message& result) {
    result.roster.reserve(it.getRoster().size());
    for (const auto entry : it.getRoster()) {
        result.roster.push_back({.number = entry.getNode(),
                                 .incarnation = entry.getIncarnation(),
                                 .beat = entry.getBeat(),
                                 .ready = entry.getReady(),
                                 .blind = entry.getBlind()});
    }
    for (const auto info : it.getKnown()) {
        if (auto node = read_info(info); is_valid(node)) {
            result.known.push_back(std::move(node));
        }
    }
}

void write(schema::UsageMessage::Builder to, const usage_message& it) {
    if (it.pledge) {
        auto pledge = to.initPledge();
        pledge.setHolderRun(it.pledge->holder_run);
        pledge.setStamp(it.pledge->stamp);
        pledge.setNodes(it.pledge->nodes);
        auto groups = pledge.initGroups(usage_portion_count);
        for (unsigned i = 0; i < usage_portion_count; ++i) {
            groups.set(i, it.pledge->groups[i]);
        }
    } else if (it.acknowledgement) {
        auto acknowledgement = to.initAcknowledgement();
        acknowledgement.setStamp(it.acknowledgement->stamp);
        acknowledgement.setNodes(it.acknowledgement->nodes);
        acknowledgement.setStopping(it.acknowledgement->stopping);
        acknowledgement.setOwnerRun(it.acknowledgement->owner_run);
    } else if (it.request) {
        auto request = to.initRequest();
        request.setId(it.request->id);
        request.setAccount(it.request->account);
        request.setRate(it.request->limits.rate_per_second);
        request.setBurst(it.request->limits.burst);
        request.setVersion(it.request->version);
    } else if (it.response) {
        auto response = to.initResponse();
        response.setId(it.response->id);
        response.setGranted(it.response->granted);
        response.setHasPledges(it.response->has_pledges);
        response.setWaitMs(clamped<std::uint32_t>(std::ceil(it.response->wait.value())));
    }
}

usage_pledge read_usage_pledge(schema::UsagePledge::Reader it) {
    usage_pledge result{.holder_run = it.getHolderRun(), .stamp = it.getStamp(), .nodes = it.getNodes()};
    const auto groups = it.getGroups();
    for (unsigned i = 0; i < std::min<unsigned>(usage_portion_count, groups.size()); ++i) {
        result.groups[i] = groups[i];
    }
    return result;
}

usage_message read_usage(schema::NodeMessage::Reader from) {
    usage_message result{.node = from.getNode(), .run = from.getIncarnation()};
    const auto it = from.getUsage();
    switch (it.which()) {
    case schema::UsageMessage::PLEDGE:
        result.pledge = read_usage_pledge(it.getPledge());
        break;
    case schema::UsageMessage::ACKNOWLEDGEMENT:
        result.acknowledgement = usage_acknowledgement{.stamp = it.getAcknowledgement().getStamp(),
                                                       .nodes = it.getAcknowledgement().getNodes(),
                                                       .stopping = it.getAcknowledgement().getStopping(),
                                                       .owner_run = it.getAcknowledgement().getOwnerRun()};
        break;
    case schema::UsageMessage::REQUEST:
        result.request = usage_request{
            .id = it.getRequest().getId(),
            .account = it.getRequest().getAccount(),
            .limits = {.rate_per_second = it.getRequest().getRate(), .burst = it.getRequest().getBurst()},
            .version = it.getRequest().getVersion()};
        break;
    case schema::UsageMessage::RESPONSE:
        result.response = usage_response{.id = it.getResponse().getId(),
                                         .granted = it.getResponse().getGranted(),
                                         .has_pledges = it.getResponse().getHasPledges(),
                                         .wait = millis{it.getResponse().getWaitMs()}};
        break;
    }
    return result;
}

node_message read_message(schema::NodeMessage::Reader it, instant now) {
    node_message result{.node = it.getNode(),
                        .incarnation = it.getIncarnation(),
                        .ready = it.getReady(),
                        .requests_hello = it.getAsksSelf(),
                        .heartbeat = it.getBeat(),
                        .store_unreachable = it.getBlind()};
    result.has_watermarks = it.getMarks().size() > 0;
    for (std::size_t i = 0; i < std::min<std::size_t>(record_source_count, it.getMarks().size()); ++i) {
        result.watermarks[i] = read_watermark(it.getMarks()[static_cast<unsigned>(i)]);
    }
    result.loads.reserve(it.getLoads().size());
    for (const auto load : it.getLoads()) {
        result.loads.push_back(read_load_update(load, now));
    }
    result.in_flight.reserve(it.getInFlight().size());
    for (const auto flight : it.getInFlight()) {
        result.in_flight.push_back({.upstream = flight.getUpstream(), .count = flight.getCount()});
    }
    for (const auto waiting : it.getWaiting()) {
        result.waiting.push_back({.service = waiting.getService(),
                                  .on_time = waiting.getOnTime(),
                                  .late = waiting.getLate(),
                                  .per_second = waiting.getPerSecond()});
    }
    for (const auto upstream : it.getLeaving()) {
        result.leaving.push_back(upstream);
    }
    for (const auto suspect : it.getSuspects()) {
        result.suspects.push_back(decode(suspect, now));
    }
    if (it.hasSelf()) {
        result.self = read_info(it.getSelf());
    }
    if (it.hasUsage()) {
        result.usage = read_usage(it);
    }
    read_nodes(it, result);
    return result;
}

void write_lists(schema::NodeMessage::Builder to, const node_message& it, instant now) {
    auto leaving = to.initLeaving(static_cast<unsigned>(it.leaving.size()));
    for (unsigned i = 0; i < it.leaving.size(); ++i) {
        leaving.set(i, it.leaving[i]);
    }
    auto known = to.initKnown(static_cast<unsigned>(it.known.size()));
    for (unsigned i = 0; i < it.known.size(); ++i) {
        write(known[i], it.known[i]);
    }
    auto suspects = to.initSuspects(static_cast<unsigned>(it.suspects.size()));
    for (unsigned i = 0; i < it.suspects.size(); ++i) {
        encode(it.suspects[i], now, suspects[i]);
    }
}

// Returns whether the limits in a message are numbers that a configuration may contain.
bool is_valid(const usage_message& it) {
    const auto valid = [](double limit) { return limit >= 0 && std::isfinite(limit); };
    return !it.request || (valid(it.request->limits.rate_per_second) && valid(it.request->limits.burst));
}

} // namespace

bool is_valid(const node_info& it) {
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(it.ip, ec);
    const bool texts_fit =
        std::max({it.name.size(), it.front_address.size(), it.failure_domain.size()}) <= max_text_bytes;
    return !ec && ip.is_v4() && it.gossip_port != 0 && texts_fit;
}

std::string encode(const node_message& it, instant now) {
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<schema::NodeMessage>();
    to.setNode(it.node);
    to.setIncarnation(it.incarnation);
    to.setReady(it.ready);
    to.setAsksSelf(it.requests_hello);
    to.setBeat(it.heartbeat);
    to.setBlind(it.store_unreachable);
    if (it.has_watermarks) {
        auto watermarks = to.initMarks(record_source_count);
        for (unsigned i = 0; i < record_source_count; ++i) {
            write(watermarks[i], it.watermarks[i]);
        }
    }
    auto roster = to.initRoster(static_cast<unsigned>(it.roster.size()));
    for (unsigned i = 0; i < it.roster.size(); ++i) {
        write(roster[i], it.roster[i]);
    }
    auto loads = to.initLoads(static_cast<unsigned>(it.loads.size()));
    for (unsigned i = 0; i < it.loads.size(); ++i) {
        write(loads[i], it.loads[i], now);
    }
    auto flights = to.initInFlight(static_cast<unsigned>(it.in_flight.size()));
    for (unsigned i = 0; i < it.in_flight.size(); ++i) {
        flights[i].setUpstream(it.in_flight[i].upstream);
        flights[i].setCount(clamped<std::uint16_t>(it.in_flight[i].count));
    }
    write(to.initWaiting(static_cast<unsigned>(it.waiting.size())), it.waiting);
    if (it.self) {
        write(to.initSelf(), *it.self);
    }
    if (it.usage) {
        write(to.initUsage(), *it.usage);
    }
    write_lists(to, it, now);
    return packed(message);
}

std::optional<node_message> decode_message(std::string_view bytes, instant now) {
    std::optional<node_message> result;
    unpack<schema::NodeMessage>(bytes, datagram_words, [&](schema::NodeMessage::Reader it) {
        const auto largest = std::max({it.getLoads().size(), it.getInFlight().size(), it.getWaiting().size(),
                                       it.getRoster().size(), it.getKnown().size(), it.getLeaving().size(),
                                       it.getSuspects().size()});
        if (largest <= max_list_entries) {
            result = read_message(it, now);
        }
    });
    if (result && result->self && !is_valid(*result->self)) {
        return std::nullopt;
    }
    if (result && result->usage && !is_valid(*result->usage)) {
        return std::nullopt;
    }
    return result;
}

std::string encode(std::span<const node_info> nodes) {
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::NodeList>().initNodes(static_cast<unsigned>(nodes.size()));
    for (unsigned i = 0; i < nodes.size(); ++i) {
        write(list[i], nodes[i]);
    }
    return deflated(packed(message));
}

std::optional<std::vector<node_info>> decode_nodes(std::string_view bytes) {
    std::optional<std::vector<node_info>> result;
    const auto message = inflated(bytes);
    if (!message) {
        return result;
    }
    unpack<schema::NodeList>(*message, state_words, [&](schema::NodeList::Reader it) {
        std::vector<node_info> nodes;
        for (const auto info : it.getNodes()) {
            if (auto node = read_info(info); is_valid(node)) {
                nodes.push_back(std::move(node));
            }
        }
        result = std::move(nodes);
    });
    return result;
}

std::string encode(const state_response& it) {
    capnp::MallocMessageBuilder message;
    auto runs = message.initRoot<schema::StateAnswer>().initRuns(record_source_count);
    for (unsigned i = 0; i < record_source_count; ++i) {
        write(runs[i].initMark(), it[i].watermark);
        auto records = runs[i].initRecords(static_cast<unsigned>(it[i].records.size()));
        for (unsigned k = 0; k < it[i].records.size(); ++k) {
            const auto& record = it[i].records[k];
            records[k].setKey(record.key);
            records[k].setOffset(record.offset);
            records[k].setRemoved(record.removed);
            records[k].setEpoch(record.epoch);
            records[k].setValue(
                kj::arrayPtr(reinterpret_cast<const kj::byte*>(record.value.data()), record.value.size()));
        }
    }
    return deflated(packed(message));
}

std::optional<state_response> decode_state(std::string_view bytes) {
    std::optional<state_response> result;
    const auto message = inflated(bytes);
    if (!message) {
        return result;
    }
    unpack<schema::StateAnswer>(*message, state_words, [&](schema::StateAnswer::Reader it) {
        state_response response;
        for (std::size_t i = 0; i < std::min<std::size_t>(record_source_count, it.getRuns().size()); ++i) {
            const auto run = it.getRuns()[static_cast<unsigned>(i)];
            response[i].watermark = read_watermark(run.getMark());
            for (const auto record : run.getRecords()) {
                const auto value = record.getValue().asChars();
                response[i].records.push_back({.key = record.getKey().cStr(),
                                               .offset = record.getOffset(),
                                               .value = std::string(value.begin(), value.size()),
                                               .removed = record.getRemoved(),
                                               .epoch = record.getEpoch()});
            }
        }
        result = std::move(response);
    });
    return result;
}

} // namespace berylcrank

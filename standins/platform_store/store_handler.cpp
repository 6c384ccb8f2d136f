#include "standins/platform_store/store_handler.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace berylcrank::standin {

namespace {

constexpr std::size_t offset_bytes = 8;

std::string path_without_query(const exchange& it) {
    return it.head.target.substr(0, it.head.target.find('?'));
}

std::string query_parameter(const exchange& it, const std::string& name) {
    const auto at = it.head.target.find('?');
    if (at == std::string::npos) {
        return {};
    }
    for (const absl::string_view part :
         absl::StrSplit(absl::string_view(it.head.target).substr(at + 1), '&')) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == name) {
            return pair.second;
        }
    }
    return {};
}

std::string big_endian(std::uint64_t n) {
    std::string bytes(offset_bytes, '\0');
    boost::endian::endian_store<std::uint64_t, offset_bytes, boost::endian::order::big>(
        reinterpret_cast<unsigned char*>(bytes.data()), n);
    return bytes;
}

} // namespace

void store_handler::respond(const exchange_ptr& it, int status, std::string_view body) const {
    it->respond(status, reason_phrase(status), {{"Store-Era", std::to_string(epoch_)}}, body);
}

void store_handler::handle(const exchange_ptr& it) {
    const auto path = path_without_query(*it);
    if (path == "/control") {
        control(it);
        return;
    }
    if (path == "/put") {
        put(it);
        return;
    }
    if (path == "/calls") {
        respond(it, 200, std::to_string(calls_));
        return;
    }
    ++calls_;
    if (outage_ == "refuse") {
        respond(it, 503);
    } else if (outage_ == "silent") {
        held_exchanges_.push_back(it);
    } else if (path == "/api/log-append") {
        append(it);
    } else if (path == "/api/log-read") {
        read(it, true);
    } else if (path == "/api/log-newest") {
        newest(it);
    } else {
        respond(it, 404);
    }
}

void store_handler::control(const exchange_ptr& it) {
    if (const auto outage = query_parameter(*it, "outage"); !outage.empty()) {
        outage_ = outage;
        if (outage == "none") {
            for (const auto& held : held_exchanges_) {
                held->abort();
            }
            held_exchanges_.clear();
        }
    }
    if (const auto topic = query_parameter(*it, "trim"); !topic.empty()) {
        topics_[topic].trim(topics_[topic].end());
    }
    if (const auto backup = query_parameter(*it, "backup"); backup == "take") {
        backup_ = topics_;
    } else if (backup == "restore") {
        restore();
    }
    respond(it, 200);
}

void store_handler::restore() {
    topics_ = backup_;
    ++epoch_;
    std::vector<std::string> names;
    for (const auto& [name, it] : long_polls_) {
        names.push_back(name);
    }
    for (const auto& name : names) {
        complete_long_polls(name);
    }
}

void store_handler::append(const exchange_ptr& it) {
    auto& topic = topics_[query_parameter(*it, "topic")];
    std::uint64_t at = 0;
    if (absl::SimpleAtoi(query_parameter(*it, "at"), &at) && at != topic.end()) {
        respond(it, 412, absl::StrCat("{\"end\":", topic.end(), "}"));
        return;
    }
    const auto records = split_records(it->body);
    if (!records) {
        respond(it, 400);
        return;
    }
    const auto offset = topic.end();
    for (const auto& record : *records) {
        topic.append(record);
    }
    if (outage_ == "lost") {
        it->abort();
    } else {
        respond(it, 200, absl::StrCat("{\"offset\":", offset, ",\"end\":", topic.end(), "}"));
    }
    complete_long_polls(query_parameter(*it, "topic"));
}

void store_handler::read(const exchange_ptr& it, bool may_wait) {
    const auto& topic = topics_[query_parameter(*it, "topic")];
    std::uint64_t from = 0;
    int wait_ms = 0;
    if (!absl::SimpleAtoi(query_parameter(*it, "from"), &from)) {
        respond(it, 400);
        return;
    }
    const auto records = topic.read(from);
    if (!records) {
        respond(it, 410, absl::StrCat("{\"first\":", topic.first(), "}"));
        return;
    }
    if (records->empty() && may_wait && absl::SimpleAtoi(query_parameter(*it, "wait-ms"), &wait_ms) &&
        wait_ms > 0) {
        long_polls_.emplace(query_parameter(*it, "topic"), it);
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(wait_ms));
        timer->async_wait([this, it, timer](const auto&) {
            if (!it->begun()) {
                read(it, false);
            }
        });
        return;
    }
    respond(it, 200, big_endian(topic.end()) + big_endian(topic.first()) + *records);
}

void store_handler::newest(const exchange_ptr& it) {
    const auto& topic = topics_[query_parameter(*it, "topic")];
    boost::json::array items;
    for (const auto& [key, record] : topic.newest()) {
        items.push_back(boost::json::object{
            {"key", key}, {"value", absl::Base64Escape(record.value)}, {"offset", record.offset}});
    }
    respond(it, 200,
            boost::json::serialize(
                boost::json::object{{"items", std::move(items)}, {"has-more", false}, {"end", topic.end()}}));
}

void store_handler::put(const exchange_ptr& it) {
    const auto name = query_parameter(*it, "topic");
    auto& topic = topics_[name];
    const auto records = split_records(frame_keyed(query_parameter(*it, "key"), it->body));
    topic.append(records->front());
    respond(it, 200);
    if (outage_ == "none") {
        complete_long_polls(name);
    }
}

void store_handler::complete_long_polls(const std::string& topic) {
    const auto range = long_polls_.equal_range(topic);
    const std::vector<std::pair<std::string, exchange_ptr>> held(range.first, range.second);
    long_polls_.erase(range.first, range.second);
    for (const auto& [name, it] : held) {
        if (!it->begun()) {
            read(it, false);
        }
    }
}

} // namespace berylcrank::standin

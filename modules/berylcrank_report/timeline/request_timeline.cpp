#include "modules/berylcrank_report/timeline/request_timeline.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace berylcrank {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 12> context_event_names{
    "store-lost",     "store-regained",    "peer-silent",      "upstream-changed",  "upstream-removed",
    "config-applied", "config-unreadable", "domain-evacuated", "domain-taken-back", "not-ready",
    "paused",         "stopping"};

bool is_context_event(std::string_view event) {
    return std::find(context_event_names.begin(), context_event_names.end(), event) !=
           context_event_names.end();
}

timeline_event parse_event(json object) {
    timeline_event out{.at_ms = object.value("at", std::int64_t{0}),
                       .node = object.value("node", ""),
                       .event = object.value("event", "")};
    for (const auto* name : {"at", "node", "event"}) {
        object.erase(name);
    }
    out.fields = object.dump();
    return out;
}

bool is_earlier(const timeline_event& a, const timeline_event& b) {
    return a.at_ms < b.at_ms;
}

std::string field_text(const timeline_event& event, const std::string& name) {
    const auto object = json::parse(event.fields);
    const auto found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

} // namespace

void request_timeline::read(std::istream& in) {
    std::string text;
    while (std::getline(in, text)) {
        const auto start = text.find('{');
        if (start == std::string::npos) {
            unreadable_lines_ += text.empty() ? 0 : 1;
            continue;
        }
        const auto object = json::parse(text.substr(start), nullptr, false);
        if (!object.is_object() || !object.contains("event")) {
            ++unreadable_lines_;
            continue;
        }
        if (object.value("request", "") == request_id_) {
            request_events_.push_back(parse_event(object));
        } else if (is_context_event(object.value("event", ""))) {
            context_events_.push_back(parse_event(object));
        }
    }
    std::stable_sort(request_events_.begin(), request_events_.end(), is_earlier);
}

std::vector<timeline_event> request_timeline::events() const {
    if (request_events_.empty()) {
        return {};
    }
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    for (const auto& it : request_events_) {
        nodes.insert(it.node);
        upstreams.insert(field_text(it, "upstream"));
    }
    auto result = request_events_;
    for (const auto& it : context_events_) {
        const bool near = it.at_ms >= request_events_.front().at_ms - context_window_ms &&
                          it.at_ms <= request_events_.back().at_ms;
        const auto upstream = field_text(it, "upstream");
        if (near && nodes.contains(it.node) && (upstream.empty() || upstreams.contains(upstream))) {
            result.push_back(it);
        }
    }
    std::stable_sort(result.begin(), result.end(), is_earlier);
    return result;
}

std::string request_timeline::cause() const {
    if (request_events_.empty()) {
        return {};
    }
    std::string attempt_text = "never sent to an upstream";
    std::string result_text = "no log line shows the outcome";
    for (const auto& it : request_events_) {
        if (it.event == "sent") {
            attempt_text = absl::StrCat("last attempt, to ", field_text(it, "upstream"), " with ",
                                        field_text(it, "in_flight"),
                                        " other requests in flight and a load report of age ",
                                        field_text(it, "report_age_ms"), " ms, got no response");
        } else if (it.event == "attempt-ended") {
            attempt_text = absl::StrCat("last attempt, to ", field_text(it, "upstream"), ", ended as ",
                                        field_text(it, "result"), " ", field_text(it, "failure"), " after ",
                                        field_text(it, "took_ms"), " ms");
        } else if (it.event == "refused") {
            result_text = absl::StrCat("refused (", field_text(it, "reason"), "), retry after ",
                                       field_text(it, "retry_after_ms"), " ms");
        } else if (it.event == "failed") {
            result_text = absl::StrCat("response status ", field_text(it, "status"), " (",
                                       field_text(it, "reason"), ")");
        } else if (it.event == "answered" && field_text(it, "result") == "response") {
            result_text = absl::StrCat("response status ", field_text(it, "status"), " after ",
                                       field_text(it, "took_ms"), " ms");
        }
    }
    return absl::StrCat(result_text, "; ", attempt_text);
}

std::string request_timeline::to_text() const {
    const auto all = events();
    std::string text;
    for (const auto& it : all) {
        absl::StrAppendFormat(&text, "%+8d ms  %-20s %-18s %s\n", it.at_ms - request_events_.front().at_ms,
                              it.node, it.event, it.fields);
    }
    return absl::StrCat(text, "cause: ", cause(), "\n");
}

std::string request_timeline::to_json() const {
    json list = json::array();
    for (const auto& it : events()) {
        list.push_back(
            {{"at", it.at_ms}, {"node", it.node}, {"event", it.event}, {"fields", json::parse(it.fields)}});
    }
    return json{{"request", request_id_},
                {"lines", list},
                {"cause", cause()},
                {"unreadable", unreadable_lines_}}
               .dump() +
           "\n";
}

} // namespace berylcrank

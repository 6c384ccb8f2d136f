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

constexpr std::array<std::string_view, 12> belief_events{
    "store-lost",     "store-regained",    "peer-silent",      "upstream-changed",  "upstream-removed",
    "config-applied", "config-unreadable", "domain-evacuated", "domain-taken-back", "not-ready",
    "paused",         "stopping"};

bool is_belief(std::string_view event) {
    return std::find(belief_events.begin(), belief_events.end(), event) != belief_events.end();
}

story_line line_of(json object) {
    story_line it{.at_ms = object.value("at", std::int64_t{0}),
                  .node = object.value("node", ""),
                  .event = object.value("event", "")};
    for (const auto* name : {"at", "node", "event"}) {
        object.erase(name);
    }
    it.fields = object.dump();
    return it;
}

bool by_time(const story_line& a, const story_line& b) {
    return a.at_ms < b.at_ms;
}

std::string field(const story_line& it, const std::string& name) {
    const auto object = json::parse(it.fields);
    const auto found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

} // namespace

void request_story::read(std::istream& in) {
    std::string text;
    while (std::getline(in, text)) {
        const auto start = text.find('{');
        if (start == std::string::npos) {
            unreadable_ += text.empty() ? 0 : 1;
            continue;
        }
        const auto object = json::parse(text.substr(start), nullptr, false);
        if (!object.is_object() || !object.contains("event")) {
            ++unreadable_;
            continue;
        }
        if (object.value("request", "") == request_id_) {
            own_.push_back(line_of(object));
        } else if (is_belief(object.value("event", ""))) {
            beliefs_.push_back(line_of(object));
        }
    }
    std::stable_sort(own_.begin(), own_.end(), by_time);
}

std::vector<story_line> request_story::lines() const {
    if (own_.empty()) {
        return {};
    }
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    for (const auto& it : own_) {
        nodes.insert(it.node);
        upstreams.insert(field(it, "upstream"));
    }
    auto result = own_;
    for (const auto& it : beliefs_) {
        const bool near = it.at_ms >= own_.front().at_ms - belief_window_ms && it.at_ms <= own_.back().at_ms;
        const auto upstream = field(it, "upstream");
        if (near && nodes.contains(it.node) && (upstream.empty() || upstreams.contains(upstream))) {
            result.push_back(it);
        }
    }
    std::stable_sort(result.begin(), result.end(), by_time);
    return result;
}

std::string request_story::cause() const {
    if (own_.empty()) {
        return {};
    }
    std::string last_attempt = "it was never sent to an upstream";
    std::string verdict = "no line says how it was answered";
    for (const auto& it : own_) {
        if (it.event == "sent") {
            last_attempt =
                absl::StrCat("its last attempt, at ", field(it, "upstream"), " with ", field(it, "in_flight"),
                             " others and a report of ", field(it, "report_age_ms"), " ms, got no response");
        } else if (it.event == "attempt-ended") {
            last_attempt = absl::StrCat("its last attempt, at ", field(it, "upstream"), ", ended as ",
                                        field(it, "result"), " ", field(it, "failure"), " after ",
                                        field(it, "took_ms"), " ms");
        } else if (it.event == "refused") {
            verdict = absl::StrCat("refused (", field(it, "reason"), "), to come back after ",
                                   field(it, "retry_after_ms"), " ms");
        } else if (it.event == "failed") {
            verdict = absl::StrCat("answered ", field(it, "status"), " (", field(it, "reason"), ")");
        } else if (it.event == "answered" && field(it, "result") == "response") {
            verdict = absl::StrCat("answered ", field(it, "status"), " after ", field(it, "took_ms"), " ms");
        }
    }
    return absl::StrCat(verdict, "; ", last_attempt);
}

std::string request_story::to_text() const {
    const auto all = lines();
    std::string text;
    for (const auto& it : all) {
        absl::StrAppendFormat(&text, "%+8d ms  %-20s %-18s %s\n", it.at_ms - own_.front().at_ms, it.node,
                              it.event, it.fields);
    }
    return absl::StrCat(text, "cause: ", cause(), "\n");
}

std::string request_story::to_json() const {
    json list = json::array();
    for (const auto& it : lines()) {
        list.push_back(
            {{"at", it.at_ms}, {"node", it.node}, {"event", it.event}, {"fields", json::parse(it.fields)}});
    }
    return json{{"request", request_id_}, {"lines", list}, {"cause", cause()}, {"unreadable", unreadable_}}
               .dump() +
           "\n";
}

} // namespace berylcrank

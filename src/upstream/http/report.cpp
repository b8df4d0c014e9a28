// What hosts say of themselves, read without I/O.
#include <charconv>
#include <nlohmann/json.hpp>

#include "upstream/http/upstream.h"

namespace silverreach::upstream_http {
namespace {
void note(LoadReport& report, std::string_view name, double value) {
    if (!(value >= 0)) return;
    if (name == "cpu_utilization")
        report.utilization = value;
    else if (name == "named_metrics.queue")
        report.queued_requests = value;
    else if (name == "named_metrics.inflight")
        report.in_flight_requests = value;
}
std::string_view trim(std::string_view text) {
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}
}  // namespace

LoadReport read_report(std::string_view field) {
    LoadReport report;
    if (field.starts_with("JSON ")) {
        const auto json = nlohmann::json::parse(field.substr(5), nullptr, false);
        if (!json.is_object()) return report;
        for (const auto& [name, value] : json.items()) {
            if (value.is_number()) note(report, name, value.get<double>());
            if (name != "named_metrics" || !value.is_object()) continue;
            for (const auto& [metric, amount] : value.items())
                if (amount.is_number())
                    note(report, "named_metrics." + metric, amount.get<double>());
        }
        return report;
    }
    if (!field.starts_with("TEXT ")) return report;
    field.remove_prefix(5);
    while (!field.empty()) {
        const std::size_t end = std::min(field.find(','), field.size());
        const std::string_view pair = field.substr(0, end);
        field.remove_prefix(std::min(end + 1, field.size()));
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos) continue;
        const std::string_view number = trim(pair.substr(equals + 1));
        double value = 0;
        const auto read = std::from_chars(number.data(), number.data() + number.size(), value);
        if (read.ec == std::errc() && read.ptr == number.data() + number.size())
            note(report, trim(pair.substr(0, equals)), value);
    }
    return report;
}

Outcome outcome_of(const http::Head& head, const config::HostAnswers& rules) {
    for (const auto& full : rules.full())
        if (full.status() == head.status &&
            (!full.has_header() || http::find(head.fields, full.header())))
            return Outcome::rejected;
    return head.status >= 500 ? Outcome::error : Outcome::success;
}

}  // namespace silverreach::upstream_http

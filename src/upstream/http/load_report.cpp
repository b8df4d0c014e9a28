#include "upstream/http/load_report.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

namespace silverreach::upstream_http {
namespace {
constexpr std::string_view json_prefix = "JSON ";
constexpr std::string_view text_prefix = "TEXT ";
constexpr std::string_view named_metrics = "named_metrics";

void set_metric(LoadReport& report, std::string_view name, double value) {
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

LoadReport parse_json(std::string_view text) {
    LoadReport report;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) return report;
    for (const auto& [name, value] : json.items()) {
        if (value.is_number()) set_metric(report, name, value.get<double>());
        if (name != named_metrics || !value.is_object()) continue;
        for (const auto& [metric, amount] : value.items())
            if (amount.is_number())
                set_metric(report, "named_metrics." + metric, amount.get<double>());
    }
    return report;
}

LoadReport parse_text(std::string_view text) {
    LoadReport report;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view metric = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = metric.find('=');
        if (equals == std::string_view::npos) continue;
        const std::string_view number = trim(metric.substr(equals + 1));
        double value = 0;
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
        if (parsed.ec == std::errc() && parsed.ptr == number.data() + number.size())
            set_metric(report, trim(metric.substr(0, equals)), value);
    }
    return report;
}
}  // namespace

LoadReport parse_load_report(std::string_view field) {
    if (field.starts_with(json_prefix)) return parse_json(field.substr(json_prefix.size()));
    if (field.starts_with(text_prefix)) return parse_text(field.substr(text_prefix.size()));
    return {};
}

}  // namespace silverreach::upstream_http

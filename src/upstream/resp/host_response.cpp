#include "upstream/resp/host_response.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace silverreach::upstream_resp {
namespace {
constexpr double unset = -1;
constexpr double max_value = 1e6;  // upper limit of a plausible load or unit cost
// Indexes of the elements of a successful reply, and their number.
constexpr std::size_t value_element = 0;
constexpr std::size_t properties_element = 1;
constexpr std::size_t report_element = 2;
constexpr std::size_t element_count = 3;

double parse_value(std::string_view text) {
    double value = unset;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return unset;
    return value >= 0 && value <= max_value ? value : unset;
}

// Calls `visit(name, value)` for each "name=value" of a comma-separated list. The value is `unset`
// if it cannot be parsed or is out of range.
template <typename Visitor>
void for_each_value(std::string_view text, Visitor visit) {
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view entry = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (const std::size_t equals = entry.find('='); equals != std::string_view::npos)
            visit(entry.substr(0, equals), parse_value(entry.substr(equals + 1)));
    }
}

bool is_rejection(std::string_view error) {
    return error == "BUSY" || error.starts_with("BUSY ");
}

HostResponse parse_error(std::string_view error) {
    HostResponse response;
    if (is_rejection(error)) response.outcome = Outcome::rejected;
    if (const std::size_t space = error.rfind(' '); space != std::string_view::npos)
        response.report = parse_load_report(error.substr(space + 1));
    return response;
}
}  // namespace

LoadReport parse_load_report(std::string_view text) {
    LoadReport report;
    for_each_value(text, [&](std::string_view name, double value) {
        if (name == "queue" || name == "backlog")
            report.queued_requests = value;
        else if (name == "inflight" || name == "outstanding")
            report.in_flight_requests = value;
        else if (name == "util" || name == "utilization")
            report.utilization = value;
    });
    return report;
}

HostResponse parse_response(resp::Reply reply) {
    if (reply.type == resp::ReplyType::error) return parse_error(reply.text);
    HostResponse response;
    const bool well_formed = reply.type == resp::ReplyType::array &&
                             reply.elements.size() == element_count &&
                             reply.elements[value_element].type == resp::ReplyType::bulk_string;
    if (!well_formed) return response;
    response.outcome = Outcome::success;
    response.value = std::move(reply.elements[value_element].text);
    if (const resp::Reply& properties = reply.elements[properties_element];
        properties.type == resp::ReplyType::bulk_string)
        for_each_value(properties.text, [&](std::string_view name, double value) {
            if (name == "cost" && value > 0) response.actual_units = value;
        });
    if (const resp::Reply& report = reply.elements[report_element];
        report.type == resp::ReplyType::bulk_string)
        response.report = parse_load_report(report.text);
    return response;
}

}  // namespace silverreach::upstream_resp

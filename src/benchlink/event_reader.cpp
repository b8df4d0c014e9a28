#include "event_reader.h"

#include <charconv>
#include <cstddef>
#include <system_error>

#include "base64.h"
#include "settings_json/json_reader.h"

namespace silverreach::benchlink {
namespace {
using settings_json::ValueError;

Outcome read_outcome(const WireValues& values, const WireField& field) {
    const auto outcome = find_wire_value(outcome_names, values.text(field));
    if (!outcome) throw ValueError(field.name, "GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP");
    return *outcome;
}

LoadReport read_load_report(const WireValues& values, const WireField& field) {
    LoadReport report;
    if (!values.has(field)) return report;
    const auto source = values.object(field);
    settings_json::read(source, load_report::queued_requests, report.queued_requests);
    settings_json::read(source, load_report::in_flight_requests, report.in_flight_requests);
    settings_json::read(source, load_report::utilization, report.utilization);
    return report;
}

EndpointEntry read_endpoint_entry(const WireValues& values) {
    namespace wire = endpoint_entry;
    EndpointEntry entry;
    entry.id = values.text(wire::id);
    if (values.has(wire::zone)) entry.zone = values.text(wire::zone);
    if (values.has(wire::kind)) entry.kind = values.text(wire::kind);
    if (values.has(wire::cell)) entry.cell = values.integer(wire::cell);
    const auto status = find_wire_value(endpoint_status_names, values.text(wire::status));
    if (!status) throw ValueError(wire::status.name, "U, L or D");
    entry.status = *status;
    if (values.has(wire::weight)) entry.weight = values.number(wire::weight);
    if (values.has(wire::started_at)) entry.started_at = values.micros(wire::started_at);
    return entry;
}

template <class Named>
std::unordered_map<std::string, int> index_by_name(const std::vector<Named>& items) {
    std::unordered_map<std::string, int> indexes;
    for (std::size_t index = 0; index < items.size(); ++index)
        indexes.emplace(items[index].name, static_cast<int>(index));
    return indexes;
}

std::optional<int> find_index(const std::unordered_map<std::string, int>& indexes,
                              std::string_view name) {
    const auto found = indexes.find(std::string(name));
    if (found == indexes.end()) return std::nullopt;
    return found->second;
}
}  // namespace

SettingsNameIndex::SettingsNameIndex(const Settings& settings)
    : class_indexes_(index_by_name(settings.classes)),
      plan_indexes_(index_by_name(settings.plans)) {}

std::optional<int> SettingsNameIndex::find_class(std::string_view name) const {
    return find_index(class_indexes_, name);
}

std::optional<int> SettingsNameIndex::find_plan(std::string_view name) const {
    return find_index(plan_indexes_, name);
}

std::vector<EndpointEntry> read_endpoint_list(const WireValues& values) {
    std::vector<EndpointEntry> entries;
    for (const auto item : values.array(endpoint_list::entries)) {
        WireValues entry_values;
        for (const auto value : settings_json::as_array(item, endpoint_entry::name))
            entry_values.append(value);
        entries.push_back(read_endpoint_entry(entry_values));
    }
    return entries;
}

RequestArrived read_request_arrived(const WireValues& values, const SettingsNameIndex& index) {
    namespace wire = request_arrived;
    RequestArrived event;
    event.id = values.unsigned_integer(wire::request_id);
    if (values.has(wire::subset_size))
        event.subset_size = static_cast<int>(values.integer(wire::subset_size));
    if (values.has(wire::subset_start))
        event.subset_start = static_cast<int>(values.integer(wire::subset_start));
    event.time_remaining = values.micros(wire::time_remaining);
    if (values.has(wire::customer)) event.customer = values.text(wire::customer);
    event.plan = -1;
    if (values.has(wire::plan)) event.plan = index.find_plan(values.text(wire::plan)).value_or(-1);
    const auto request_class = index.find_class(values.text(wire::request_class));
    if (!request_class)
        throw ValueError(wire::request_class.name, "the name of a class in the settings");
    event.request_class = *request_class;
    if (values.has(wire::units)) event.units = values.number(wire::units);
    return event;
}

AttemptEnded read_attempt_ended(const WireValues& values) {
    namespace wire = attempt_ended;
    AttemptEnded event;
    event.id = values.unsigned_integer(wire::request_id);
    event.attempt = static_cast<int>(values.integer(wire::attempt));
    event.endpoint = values.text(wire::endpoint);
    event.outcome = read_outcome(values, wire::outcome);
    if (values.has(wire::duration)) event.duration = values.micros(wire::duration);
    event.request_completed = values.boolean(wire::request_completed);
    if (values.has(wire::actual_units)) event.actual_units = values.number(wire::actual_units);
    event.load_report = read_load_report(values, wire::load_report);
    return event;
}

HealthCheckEnded read_health_check_ended(const WireValues& values) {
    namespace wire = health_check_ended;
    HealthCheckEnded event;
    event.endpoint = values.text(wire::endpoint);
    event.outcome = read_outcome(values, wire::outcome);
    if (values.has(wire::duration)) event.duration = values.micros(wire::duration);
    event.load_report = read_load_report(values, wire::load_report);
    return event;
}

ClientDisconnected read_client_disconnected(const WireValues& values) {
    return {values.unsigned_integer(client_disconnected::request_id)};
}

PeerMessageReceived read_peer_message(const WireValues& values) {
    namespace wire = peer_message_received;
    const auto bytes = decode_base64(values.text(wire::bytes));
    if (!bytes) throw ValueError(wire::bytes.name, "base64 with padding");
    return {static_cast<int>(values.integer(wire::from)), *bytes};
}

std::optional<TimerFired> read_timer_fired(const WireValues& values) {
    const std::string_view text = values.text(timer_fired::token);
    const char* const end = text.data() + text.size();
    TimerFired event;
    const auto parsed = std::from_chars(text.data(), end, event.token);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return event;
}

}  // namespace silverreach::benchlink

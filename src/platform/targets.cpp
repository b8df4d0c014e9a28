#include "platform/targets.h"

#include "settings_json/settings_json.h"

namespace silverreach::platform {
namespace {
namespace json = silverreach::settings_json;

EndpointStatus state_of(std::string_view text) {
    if (text == "ready") return EndpointStatus::available;
    if (text == "draining") return EndpointStatus::draining;
    if (text == "gone") return EndpointStatus::removed;
    throw json::ValueError("state", "ready, draining or gone");
}

Target read_target(json::object o) {
    Target t;
    t.entry.id = json::as_text(json::require_value(o, "uid"), "uid");
    if (t.entry.id.empty()) throw json::ValueError("uid", "a name");
    t.entry.status = state_of(json::as_text(json::require_value(o, "state"), "state"));
    if (const auto e = json::find_value(o, "az")) t.entry.zone = json::as_text(*e, "az");
    if (const auto e = json::find_value(o, "model")) t.entry.kind = json::as_text(*e, "model");
    if (const auto e = json::find_value(o, "pod_group"))
        t.entry.cell = json::as_integer(*e, "pod_group");
    json::read(o, "capacity_hint", t.entry.weight);
    if (const auto e = json::find_value(o, "boot_ms"))
        t.entry.started_at = std::chrono::milliseconds(json::as_integer(*e, "boot_ms"));
    if (const auto e = json::find_value(o, "endpoint"))
        t.endpoint = config::parse_endpoint(json::as_text(*e, "endpoint"));
    if (!t.endpoint && t.entry.status != EndpointStatus::removed)
        throw json::ValueError("endpoint", "an IP address and port");
    return t;
}
}  // namespace

std::optional<TargetList> read_targets(json::object object) try {
    TargetList list;
    list.revision = json::as_integer(json::require_value(object, "rev"), "rev");
    list.whole = json::as_bool(json::require_value(object, "all"), "all");
    for (json::element e : json::as_array(json::require_value(object, "targets"), "targets"))
        list.targets.push_back(read_target(json::as_object(e, "targets[]")));
    return list;
} catch (const json::ValueError&) {
    return std::nullopt;
}

std::optional<TargetList> read_targets(std::string_view text) {
    simdjson::dom::parser parser;
    json::object o;
    if (parser.parse(text.data(), text.size()).get(o) != simdjson::SUCCESS) return std::nullopt;
    return read_targets(o);
}

}  // namespace silverreach::platform

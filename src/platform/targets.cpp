#include "platform/targets.h"

#include "settings_json/settings_json.h"

namespace silverreach::platform {
namespace {
namespace json = silverreach::settings_json;

EndpointStatus parse_state(std::string_view text) {
    if (text == "ready") return EndpointStatus::available;
    if (text == "draining") return EndpointStatus::draining;
    if (text == "gone") return EndpointStatus::removed;
    throw json::ValueError("state", "ready, draining or gone");
}

Target read_target(json::object object) {
    Target target;
    target.entry.id = json::as_text(json::require_value(object, "uid"), "uid");
    if (target.entry.id.empty()) throw json::ValueError("uid", "a name");
    target.entry.status = parse_state(json::as_text(json::require_value(object, "state"), "state"));
    if (const auto value = json::find_value(object, "az"))
        target.entry.zone = json::as_text(*value, "az");
    if (const auto value = json::find_value(object, "model"))
        target.entry.kind = json::as_text(*value, "model");
    if (const auto value = json::find_value(object, "pod_group"))
        target.entry.cell = json::as_integer(*value, "pod_group");
    json::read(object, "capacity_hint", target.entry.weight);
    if (const auto value = json::find_value(object, "boot_ms"))
        target.entry.started_at = json::as_milliseconds(*value, "boot_ms");
    if (const auto value = json::find_value(object, "endpoint"))
        target.endpoint = config::parse_endpoint(json::as_text(*value, "endpoint"));
    if (!target.endpoint && target.entry.status != EndpointStatus::removed)
        throw json::ValueError("endpoint", "an IP address and port");
    return target;
}
}  // namespace

std::optional<TargetList> read_targets(json::object object) try {
    TargetList list;
    list.revision = json::as_integer(json::require_value(object, "rev"), "rev");
    list.complete = json::as_bool(json::require_value(object, "all"), "all");
    for (json::element target : json::as_array(json::require_value(object, "targets"), "targets"))
        list.targets.push_back(read_target(json::as_object(target, "targets[]")));
    return list;
} catch (const json::ValueError&) {
    return std::nullopt;
}

std::optional<TargetList> read_targets(std::string_view text) {
    simdjson::dom::parser parser;
    json::object object;
    if (parser.parse(text.data(), text.size()).get(object) != simdjson::SUCCESS)
        return std::nullopt;
    return read_targets(object);
}

}  // namespace silverreach::platform

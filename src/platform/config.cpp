#include "platform/config.h"

#include <simdjson.h>

#include <charconv>
#include <stdexcept>

#include "settings_json/settings_json.h"

namespace silverreach::platform {
namespace {
namespace json = silverreach::settings_json;
constexpr double max_memory_mb = 1e12;
constexpr std::size_t customers_per_mb = 128;  // an eighth of the memory, at 1 KiB each

[[noreturn]] void fail(std::string_view name, std::string_view expected) {
    throw std::invalid_argument(std::string(name) + ": expected " + std::string(expected));
}

config::Endpoint read_endpoint(std::string_view text, std::string_view name) {
    const auto endpoint = config::parse_endpoint(text);
    if (!endpoint) fail(name, "an IP address and port");
    return *endpoint;
}
std::optional<config::Endpoint> read_optional_endpoint(json::object object, std::string_view key) {
    if (const auto value = json::find_value(object, key))
        return read_endpoint(json::as_text(*value, key), key);
    return std::nullopt;
}

std::uint64_t read_seed(json::element element) {
    std::string_view text;
    if (element.get(text) != simdjson::SUCCESS) return json::as_unsigned(element, "seed");
    std::uint64_t seed = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        fail("seed", "hex digits");
    return seed;
}

std::int64_t read_memory_mb(json::element element) {
    const double megabytes = json::as_number(element, "memory_mb");
    if (!(megabytes >= 1 && megabytes <= max_memory_mb))
        fail("limits.memory_mb", "a number above 0, of megabytes that a machine can have");
    return static_cast<std::int64_t>(megabytes);
}

void read_limits(json::object object, NodeLimits& limits) {
    if (const auto value = json::find_value(object, "memory_mb"))
        limits.memory_mb = read_memory_mb(*value);
    json::read(object, "sockets", limits.sockets);
    if (limits.sockets < 32) fail("limits.sockets", "32 or more");
}

NodeConfig read_root(json::object root,
                     const std::function<const char*(const char*)>& get_variable) {
    NodeConfig result;
    const auto variable_or_key = [&](const char* name,
                                     std::string_view key) -> std::optional<std::string> {
        if (const char* variable_text = get_variable(name); variable_text && *variable_text)
            return variable_text;
        if (const auto value = json::find_value(root, key))
            return std::string(json::as_text(*value, key));
        return std::nullopt;
    };
    result.name = variable_or_key("NODE_NAME", "name").value_or("node");
    const auto listen = variable_or_key("NODE_LISTEN", "listen");
    if (!listen) fail("listen", "an IP address and port, in the file or in NODE_LISTEN");
    result.listen = read_endpoint(*listen, "listen");
    // Here the file overrides the variable: a new configuration file may name another address,
    // while the variable keeps its value.
    if (const auto value = read_optional_endpoint(root, "discovery"))
        result.discovery = *value;
    else if (const auto address = variable_or_key("NODE_DISCOVERY", "discovery"))
        result.discovery = read_endpoint(*address, "NODE_DISCOVERY");
    else
        fail("discovery", "an IP address and port, in the file or in NODE_DISCOVERY");
    if (const auto value = json::find_value(root, "seed")) result.seed = read_seed(*value);
    if (const auto value = json::find_value(root, "limits"))
        read_limits(json::as_object(*value, "limits"), result.limits);
    result.peer_listen = read_optional_endpoint(root, "peer_listen");
    result.broadcast = read_optional_endpoint(root, "peers_all");
    if (const auto value = json::find_value(root, "peers"))
        for (json::element peer : json::as_array(*value, "peers"))
            result.peers.push_back(read_endpoint(json::as_text(peer, "peers[]"), "peers[]"));
    const json::object settings =
        json::as_object(json::require_value(root, "settings"), "settings");
    result.settings = json::read_settings(settings);
    result.settings.max_customers =
        static_cast<std::size_t>(result.limits.memory_mb) * customers_per_mb;
    validate(result.settings);
    if (!result.peers.empty() &&
        result.peers.size() != static_cast<std::size_t>(result.settings.instance_count))
        fail("peers", "one address for each instance of the settings");
    const json::object ceilings =
        json::as_object(json::require_value(settings, "ceilings"), "ceilings");
    json::read(ceilings, "connectTimeoutUs", result.connect_timeout);
    json::read(ceilings, "connIdleUs", result.idle_timeout);
    if (const auto value = json::find_value(settings, "familyInfo"))
        json::read(json::as_object(*value, "familyInfo"), "unitsTop", result.max_units);
    if (const auto value = json::find_value(root, "known")) {
        const auto list = read_targets(json::as_object(*value, "known"));
        if (!list) fail("known", "a list of hosts in the format of discovery");
        result.initial_list = *list;
    }
    return result;
}
}  // namespace

bool is_object(std::string_view text) {
    simdjson::dom::parser parser;
    json::element root;
    return parser.parse(text.data(), text.size()).get(root) == simdjson::SUCCESS &&
           root.is_object();
}

NodeConfig read_config(std::string_view text,
                       const std::function<const char*(const char*)>& get_variable) {
    simdjson::dom::parser parser;
    json::element root;
    if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS)
        fail("configuration", "one JSON object");
    try {
        return read_root(json::as_object(root, "configuration"), get_variable);
    } catch (const json::ValueError& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace silverreach::platform

#include "platform/config.h"

#include <simdjson.h>

#include <charconv>
#include <stdexcept>

#include "settings_json/settings_json.h"

namespace silverreach::platform {
namespace {
namespace json = silverreach::settings_json;

[[noreturn]] void fail(std::string_view what, std::string_view expected) {
    throw std::invalid_argument(std::string(what) + ": expected " + std::string(expected));
}

config::Endpoint endpoint(std::string_view text, std::string_view what) {
    const auto e = config::parse_endpoint(text);
    if (!e) fail(what, "an IP address and port");
    return *e;
}
std::optional<config::Endpoint> endpoint_at(json::object o, std::string_view key) {
    if (const auto e = json::find_value(o, key)) return endpoint(json::as_text(*e, key), key);
    return std::nullopt;
}

std::uint64_t seed_of(json::element e) {
    std::string_view text;
    if (e.get(text) != simdjson::SUCCESS) return json::as_unsigned(e, "seed");
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size()) fail("seed", "hex digits");
    return value;
}

void read_limits(json::object o, NodeLimits& limits) {
    auto memory = static_cast<double>(limits.memory_mb);
    json::read(o, "memory_mb", memory);
    json::read(o, "sockets", limits.sockets);
    limits.memory_mb = static_cast<std::int64_t>(memory);
    if (limits.memory_mb < 1) fail("limits.memory_mb", "a number above 0");
    if (limits.sockets < 32) fail("limits.sockets", "32 or more");
}

NodeConfig read_root(json::object root, const std::function<const char*(const char*)>& variable) {
    NodeConfig c;
    const auto text = [&](const char* name, std::string_view key) -> std::optional<std::string> {
        if (const char* value = variable(name); value && *value) return value;
        if (const auto e = json::find_value(root, key)) return std::string(json::as_text(*e, key));
        return std::nullopt;
    };
    c.name = text("NODE_NAME", "name").value_or("node");
    const auto listen = text("NODE_LISTEN", "listen");
    if (!listen) fail("listen", "an IP address and port, here or in NODE_LISTEN");
    c.listen = endpoint(*listen, "listen");
    // The file comes first here: a new one names another address, and the variable stays as it was.
    if (const auto e = endpoint_at(root, "discovery"))
        c.discovery = *e;
    else if (const auto d = text("NODE_DISCOVERY", "discovery"))
        c.discovery = endpoint(*d, "NODE_DISCOVERY");
    else
        fail("discovery", "an IP address and port, here or in NODE_DISCOVERY");
    if (const auto e = json::find_value(root, "seed")) c.seed = seed_of(*e);
    if (const auto e = json::find_value(root, "limits"))
        read_limits(json::as_object(*e, "limits"), c.limits);
    c.peer_listen = endpoint_at(root, "peer_listen");
    c.peers_all = endpoint_at(root, "peers_all");
    if (const auto e = json::find_value(root, "peers"))
        for (json::element peer : json::as_array(*e, "peers"))
            c.peers.push_back(endpoint(json::as_text(peer, "peers[]"), "peers[]"));
    const json::object settings =
        json::as_object(json::require_value(root, "settings"), "settings");
    c.settings = json::read_settings(settings);
    validate(c.settings);
    if (!c.peers.empty() && c.peers.size() != static_cast<std::size_t>(c.settings.instance_count))
        fail("peers", "one address for each instance of the settings");
    const json::object limits =
        json::as_object(json::require_value(settings, "ceilings"), "ceilings");
    json::read(limits, "connectTimeoutUs", c.connect_timeout);
    json::read(limits, "connIdleUs", c.idle);
    if (const auto e = json::find_value(settings, "familyInfo"))
        json::read(json::as_object(*e, "familyInfo"), "unitsTop", c.most_units);
    if (const auto e = json::find_value(root, "known")) {
        const auto list = read_targets(json::as_object(*e, "known"));
        if (!list) fail("known", "a list of hosts in discovery's form");
        c.known = *list;
    }
    return c;
}
}  // namespace

bool is_object(std::string_view text) {
    simdjson::dom::parser parser;
    json::element root;
    return parser.parse(text.data(), text.size()).get(root) == simdjson::SUCCESS &&
           root.is_object();
}

NodeConfig read_config(std::string_view text,
                       const std::function<const char*(const char*)>& variable) {
    simdjson::dom::parser parser;
    json::element root;
    if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS)
        fail("configuration", "one JSON object");
    try {
        return read_root(json::as_object(root, "configuration"), variable);
    } catch (const json::ValueError& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace silverreach::platform

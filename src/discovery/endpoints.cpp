#include "discovery/endpoints.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace silverreach::discovery {
namespace {
using nlohmann::json;

// JSON of protobuf messages may have either spelling of a name.
const json* member(const json& object, const char* camel, const char* snake) {
    if (!object.is_object()) return nullptr;
    if (const auto it = object.find(camel); it != object.end()) return &*it;
    if (const auto it = object.find(snake); it != object.end()) return &*it;
    return nullptr;
}
std::string text_or(const json* value, std::string fallback = "") {
    return value && value->is_string() ? value->get<std::string>() : std::move(fallback);
}

struct Reader {
    const std::string& source;
    std::vector<openapi::Problem>& problems;
    HostList& into;
    std::set<std::string> seen;

    void problem(std::string field, std::string expected) {
        problems.push_back({source, 0, std::move(field), std::move(expected)});
    }
    std::string address(const json* holder, const std::string& field) {
        const json* socket = holder ? member(*holder, "socketAddress", "socket_address") : nullptr;
        const std::string ip = socket ? text_or(member(*socket, "address", "address")) : "";
        const json* port = socket ? member(*socket, "portValue", "port_value") : nullptr;
        if (ip.empty() || !port || !port->is_number_integer() || port->get<std::int64_t>() < 1 ||
            port->get<std::int64_t>() > 65535)
            return problem(field, "socketAddress with an address and a portValue from 1 to 65535"),
                   "";
        const bool v6 = ip.find(':') != std::string::npos;
        return fmt::format("{}{}{}:{}", v6 ? "[" : "", ip, v6 ? "]" : "", port->get<int>());
    }
    void endpoint(const json& e, const std::string& zone, const std::string& field) {
        Listed host;
        host.entry.zone = zone;
        const json* where = member(e, "endpoint", "endpoint");
        host.entry.id = address(where ? member(*where, "address", "address") : nullptr,
                                field + ".endpoint.address");
        if (host.entry.id.empty()) return;
        if (!seen.insert(host.entry.id).second)
            return problem(field, "each address once, not " + host.entry.id + " again");
        if (const json* more = member(*where, "additionalAddresses", "additional_addresses");
            more && more->is_array())
            for (const json& a : *more)
                host.addresses.push_back(
                    address(member(a, "address", "address"), field + ".additionalAddresses"));
        const std::string health = text_or(member(e, "healthStatus", "health_status"), "UNKNOWN");
        if (health == "UNKNOWN" || health == "HEALTHY" || health == "DEGRADED")
            host.entry.status = EndpointStatus::available;
        else if (health == "DRAINING")
            host.entry.status = EndpointStatus::draining;
        else if (health == "UNHEALTHY" || health == "TIMEOUT")
            host.entry.status = EndpointStatus::removed;
        else
            return problem(field + ".healthStatus",
                           "HEALTHY, DRAINING, UNHEALTHY, TIMEOUT, DEGRADED or UNKNOWN");
        if (const json* weight = member(e, "loadBalancingWeight", "load_balancing_weight")) {
            if (!weight->is_number() || weight->get<double>() < 1)
                return problem(field + ".loadBalancingWeight", "a number from 1");
            host.entry.weight = weight->get<double>();
        }
        const json* metadata = member(e, "metadata", "metadata");
        const json* filters =
            metadata ? member(*metadata, "filterMetadata", "filter_metadata") : nullptr;
        const json* own = filters ? member(*filters, "silverreach", "silverreach") : nullptr;
        if (own) {
            host.entry.kind = text_or(member(*own, "kind", "kind"));
            const auto number = [&](const char* name, std::int64_t& out) {
                const json* value = member(*own, name, name);
                if (!value) return;
                if (value->is_number())
                    out = static_cast<std::int64_t>(value->get<double>());
                else
                    problem(field + ".metadata." + name, "a number");
            };
            number("cell", host.entry.cell);
            number("started_unix_ms", host.started_unix_ms);
        }
        into.hosts.push_back(std::move(host));
    }
    void assignment(const json& a) {
        const json* localities = member(a, "endpoints", "endpoints");
        if (!localities) return;  // a cluster without endpoints
        if (!localities->is_array()) return problem("endpoints", "a list");
        for (std::size_t i = 0; i < localities->size(); ++i) {
            const json& group = (*localities)[i];
            const json* locality = member(group, "locality", "locality");
            const std::string zone = locality ? text_or(member(*locality, "zone", "zone")) : "";
            const json* list = member(group, "lbEndpoints", "lb_endpoints");
            if (!list) continue;
            if (!list->is_array()) {
                problem(fmt::format("endpoints[{}].lbEndpoints", i), "a list");
                continue;
            }
            for (std::size_t k = 0; k < list->size(); ++k)
                endpoint((*list)[k], zone, fmt::format("endpoints[{}].lbEndpoints[{}]", i, k));
        }
    }
};
}  // namespace

bool parse_endpoints(std::string_view text, const std::string& source, const std::string& cluster,
                     HostList& into, std::vector<openapi::Problem>& problems) {
    const std::size_t before = problems.size();
    into = {};
    Reader reader{source, problems, into, {}};
    json root;
    try {
        root = json::parse(text);
    } catch (const json::parse_error& error) {
        const auto upto = text.substr(0, std::min(text.size(), error.byte));
        problems.push_back({source,
                            1 + static_cast<int>(std::count(upto.begin(), upto.end(), '\n')),
                            "document", std::string("valid JSON: ") + error.what()});
        return false;
    }
    if (const json* resources = member(root, "resources", "resources")) {
        into.version = text_or(member(root, "versionInfo", "version_info"));
        bool found = false;
        for (const json& r : resources->is_array() ? *resources : json::array())
            if (text_or(member(r, "clusterName", "cluster_name")) == cluster)
                reader.assignment(r), found = true;
        if (!found)
            reader.problem("resources", "a ClusterLoadAssignment of cluster '" + cluster + "'");
    } else if (text_or(member(root, "clusterName", "cluster_name")) == cluster) {
        reader.assignment(root);
    } else {
        reader.problem("clusterName", "'" + cluster + "', or a DiscoveryResponse with resources");
    }
    return problems.size() == before;
}

Micros StartTimes::place(const std::string& host, std::int64_t started_unix_ms, Micros now,
                         std::int64_t unix_ms_now) {
    if (started_unix_ms <= 0) return Micros(0);
    auto& [wall, placed] = known_[host];
    if (wall != started_unix_ms) {
        wall = started_unix_ms;
        const Micros age =
            std::chrono::milliseconds(std::max<std::int64_t>(0, unix_ms_now - started_unix_ms));
        // A start before this clock's own beginning is long past, which 0 would say too; 1 keeps it
        // a start.
        const Micros before = placed;
        placed = std::max(now - age, Micros(1));
        if (placed == before) placed += Micros(1);  // another start all the same
    }
    return placed;
}
void StartTimes::keep_only(const std::vector<EndpointEntry>& hosts) {
    std::erase_if(known_, [&](const auto& k) {
        return std::none_of(hosts.begin(), hosts.end(),
                            [&](const EndpointEntry& h) { return h.id == k.first; });
    });
}

}  // namespace silverreach::discovery

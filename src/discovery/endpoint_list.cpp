#include "discovery/endpoint_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace silverreach::discovery {
namespace {
using nlohmann::json;
constexpr std::int64_t max_port = 65535;
constexpr double max_exact_integer = 9007199254740992;  // 2^53

// The JSON mapping of protobuf accepts a field name in camel case and as declared in the schema.
const json* find_field(const json& object, const char* camel_case, const char* snake_case) {
    if (!object.is_object()) return nullptr;
    if (const auto it = object.find(camel_case); it != object.end()) return &*it;
    if (const auto it = object.find(snake_case); it != object.end()) return &*it;
    return nullptr;
}
const json* find_field(const json& object, const char* name) {
    return find_field(object, name, name);
}
std::string text_or(const json* value, const std::string& fallback = "") {
    return value && value->is_string() ? value->get<std::string>() : fallback;
}

std::optional<EndpointStatus> parse_health_status(std::string_view health) {
    if (health == "UNKNOWN" || health == "HEALTHY" || health == "DEGRADED")
        return EndpointStatus::available;
    if (health == "DRAINING") return EndpointStatus::draining;
    if (health == "UNHEALTHY" || health == "TIMEOUT") return EndpointStatus::removed;
    return std::nullopt;
}

class EndpointListParser {
  public:
    EndpointListParser(const std::string& source, std::vector<openapi::Problem>& problems,
                       EndpointList& list)
        : source_(source), problems_(problems), list_(list) {}

    void parse_document(const json& root, const std::string& cluster) {
        const json* resources = find_field(root, "resources");
        if (resources) {
            parse_response(root, *resources, cluster);
        } else if (is_assignment_of(root, cluster)) {
            parse_assignment(root);
        } else {
            report("clusterName", "'" + cluster + "', or a DiscoveryResponse with resources");
        }
    }

  private:
    void report(std::string field, std::string expected) {
        problems_.push_back({source_, 0, std::move(field), std::move(expected)});
    }
    static bool is_assignment_of(const json& assignment, const std::string& cluster) {
        return text_or(find_field(assignment, "clusterName", "cluster_name")) == cluster;
    }

    void parse_response(const json& root, const json& resources, const std::string& cluster) {
        list_.version = text_or(find_field(root, "versionInfo", "version_info"));
        bool found = false;
        for (const json& resource : resources.is_array() ? resources : json::array()) {
            if (!is_assignment_of(resource, cluster)) continue;
            parse_assignment(resource);
            found = true;
        }
        if (!found) report("resources", "a ClusterLoadAssignment of cluster '" + cluster + "'");
    }

    void parse_assignment(const json& assignment) {
        const json* localities = find_field(assignment, "endpoints");
        if (!localities) return;  // a cluster without endpoints
        if (!localities->is_array()) return report("endpoints", "a list");
        for (std::size_t i = 0; i < localities->size(); ++i)
            parse_locality((*localities)[i], fmt::format("endpoints[{}].lbEndpoints", i));
    }

    void parse_locality(const json& locality_endpoints, const std::string& field) {
        const json* locality = find_field(locality_endpoints, "locality");
        const std::string zone = locality ? text_or(find_field(*locality, "zone")) : "";
        const json* endpoints = find_field(locality_endpoints, "lbEndpoints", "lb_endpoints");
        if (!endpoints) return;
        if (!endpoints->is_array()) return report(field, "a list");
        for (std::size_t i = 0; i < endpoints->size(); ++i)
            parse_endpoint((*endpoints)[i], zone, fmt::format("{}[{}]", field, i));
    }

    void parse_endpoint(const json& lb_endpoint, const std::string& zone,
                        const std::string& field) {
        ListedEndpoint listed;
        listed.entry.zone = zone;
        if (!parse_addresses(lb_endpoint, field, listed)) return;
        const std::string health =
            text_or(find_field(lb_endpoint, "healthStatus", "health_status"), "UNKNOWN");
        const auto status = parse_health_status(health);
        if (!status)
            return report(field + ".healthStatus",
                          "HEALTHY, DRAINING, UNHEALTHY, TIMEOUT, DEGRADED or UNKNOWN");
        listed.entry.status = *status;
        if (!parse_weight(lb_endpoint, field, listed)) return;
        parse_metadata(lb_endpoint, field, listed);
        list_.endpoints.push_back(std::move(listed));
    }

    bool parse_addresses(const json& lb_endpoint, const std::string& field,
                         ListedEndpoint& listed) {
        const json* endpoint = find_field(lb_endpoint, "endpoint");
        listed.entry.id = parse_address(endpoint ? find_field(*endpoint, "address") : nullptr,
                                        field + ".endpoint.address");
        if (listed.entry.id.empty()) return false;
        if (!seen_addresses_.insert(listed.entry.id).second) {
            report(field, "unique addresses; " + listed.entry.id + " is listed more than once");
            return false;
        }
        const json* additional =
            find_field(*endpoint, "additionalAddresses", "additional_addresses");
        if (!additional || !additional->is_array()) return true;
        for (const json& address : *additional)
            listed.addresses.push_back(
                parse_address(find_field(address, "address"), field + ".additionalAddresses"));
        return true;
    }

    // Returns "ip:port", or "[ip]:port" for IPv6. Reports an address that is missing or invalid and
    // returns an empty string for it.
    std::string parse_address(const json* address, const std::string& field) {
        const json* socket =
            address ? find_field(*address, "socketAddress", "socket_address") : nullptr;
        const std::string ip = socket ? text_or(find_field(*socket, "address")) : "";
        const json* port = socket ? find_field(*socket, "portValue", "port_value") : nullptr;
        if (ip.empty() || !port || !port->is_number_integer() || port->get<std::int64_t>() < 1 ||
            port->get<std::int64_t>() > max_port) {
            report(field, "socketAddress with an address and a portValue from 1 to 65535");
            return "";
        }
        const bool is_v6 = ip.find(':') != std::string::npos;
        return fmt::format("{}{}{}:{}", is_v6 ? "[" : "", ip, is_v6 ? "]" : "", port->get<int>());
    }

    bool parse_weight(const json& lb_endpoint, const std::string& field, ListedEndpoint& listed) {
        const json* weight =
            find_field(lb_endpoint, "loadBalancingWeight", "load_balancing_weight");
        if (!weight) return true;
        if (!weight->is_number() || weight->get<double>() < 1) {
            report(field + ".loadBalancingWeight", "a number of at least 1");
            return false;
        }
        listed.entry.weight = weight->get<double>();
        return true;
    }

    void parse_metadata(const json& lb_endpoint, const std::string& field, ListedEndpoint& listed) {
        const json* metadata = find_field(lb_endpoint, "metadata");
        const json* filters =
            metadata ? find_field(*metadata, "filterMetadata", "filter_metadata") : nullptr;
        const json* own_metadata = filters ? find_field(*filters, "silverreach") : nullptr;
        if (!own_metadata) return;
        listed.entry.kind = text_or(find_field(*own_metadata, "kind"));
        parse_number(*own_metadata, "cell", field, listed.entry.cell);
        parse_number(*own_metadata, "started_unix_ms", field, listed.started_unix_ms);
    }

    void parse_number(const json& metadata, const char* name, const std::string& field,
                      std::int64_t& number) {
        const json* value = find_field(metadata, name);
        if (!value) return;
        if (value->is_number() && std::abs(value->get<double>()) <= max_exact_integer)
            number = static_cast<std::int64_t>(value->get<double>());
        else
            report(field + ".metadata." + name, "a number from -2^53 to 2^53");
    }

    const std::string& source_;
    std::vector<openapi::Problem>& problems_;
    EndpointList& list_;
    std::set<std::string> seen_addresses_;
};

int line_at(std::string_view text, std::size_t byte_offset) {
    const auto before = text.substr(0, std::min(text.size(), byte_offset));
    return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}
}  // namespace

bool parse_endpoint_list(std::string_view text, const std::string& source,
                         const std::string& cluster, EndpointList& list,
                         std::vector<openapi::Problem>& problems) {
    const std::size_t problems_before = problems.size();
    list = {};
    json root;
    try {
        root = json::parse(text);
    } catch (const json::parse_error& error) {
        problems.push_back({source, line_at(text, error.byte), "document",
                            std::string("valid JSON: ") + error.what()});
        return false;
    } catch (const json::exception& error) {  // a number beyond the range of a double
        problems.push_back({source, 0, "document", std::string("valid JSON: ") + error.what()});
        return false;
    }
    EndpointListParser(source, problems, list).parse_document(root, cluster);
    return problems.size() == problems_before;
}

}  // namespace silverreach::discovery

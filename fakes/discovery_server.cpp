#include "fakes/discovery_server.h"

#include <fmt/format.h>

namespace silverreach::fakes {

DiscoveryServer::DiscoveryServer(event::Loop& loop, std::string cluster, Micros delay,
                                 Recorder& records)
    : loop_(loop),
      cluster_(std::move(cluster)),
      delay_(delay),
      records_(records),
      server_(loop, "127.0.0.1", 0,
              [this](Server::Token token, const http::Head& head, const std::string& body) {
                  handle_request(token, head, body);
              }) {}

void DiscoveryServer::apply_later(std::function<void()> change) {
    if (delay_ <= Micros(0)) return change(), void(++version_);
    loop_.after(delay_, [this, change = std::move(change)] { change(), ++version_; });
}
void DiscoveryServer::set(const std::string& host, const DiscoveryEntry& entry) {
    apply_later([this, host, entry] { hosts_[host] = entry; });
}
void DiscoveryServer::remove(const std::string& host) {
    apply_later([this, host] { hosts_.erase(host); });
}

std::string DiscoveryServer::to_json() const {
    std::map<std::string, nlohmann::json> zones;
    for (const auto& [host, entry] : hosts_) {
        const std::size_t colon = host.rfind(':');
        std::string ip = host.substr(0, colon);
        if (ip.front() == '[') ip = ip.substr(1, ip.size() - 2);
        nlohmann::json metadata = {
            {"kind", entry.kind}, {"cell", entry.cell}, {"started_unix_ms", entry.started_unix_ms}};
        zones[entry.zone].push_back(
            {{"endpoint",
              {{"address",
                {{"socketAddress",
                  {{"address", ip}, {"portValue", std::stoi(host.substr(colon + 1))}}}}}}},
             {"healthStatus", entry.state},
             {"metadata", {{"filterMetadata", {{"silverreach", metadata}}}}}});
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (auto& [zone, entries] : zones)
        endpoints.push_back({{"locality", {{"zone", zone}}}, {"lbEndpoints", entries}});
    const std::string type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    const nlohmann::json resource = {
        {"@type", type}, {"clusterName", cluster_}, {"endpoints", endpoints}};
    return nlohmann::json{
        {"versionInfo", std::to_string(version_)}, {"typeUrl", type}, {"resources", {resource}}}
        .dump();
}

void DiscoveryServer::handle_request(Server::Token token, const http::Head& head,
                                     const std::string& body) {
    const auto request = nlohmann::json::parse(body, nullptr, false);
    if (head.target != "/v3/discovery:endpoints" || !request.is_object()) {
        server_.respond(token, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false);
        return;
    }
    if (request.value("versionInfo", "") == std::to_string(version_)) {
        server_.respond(token, "HTTP/1.1 304 Not Modified\r\n\r\n", false);
        return;
    }
    const std::string text = to_json();
    const std::string node = request.contains("node") ? request["node"].value("id", "") : "";
    nlohmann::json states = nlohmann::json::object();
    for (const auto& [host, entry] : hosts_)
        states[host] = entry.state;
    records_.add(
        loop_.now(), "roster", "told",
        {{"gateway", std::atoi(node.substr(node.rfind('-') + 1).c_str())}, {"hosts", states}});
    server_.respond(
        token,
        fmt::format(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.size()) +
            text,
        false);
}

}  // namespace silverreach::fakes

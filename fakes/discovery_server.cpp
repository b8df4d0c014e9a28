#include "fakes/discovery_server.h"

#include <fmt/format.h>

namespace silverreach::fakes {

DiscoveryServer::DiscoveryServer(event::Loop& loop, std::string cluster, Micros lag,
                                 Recorder& records)
    : loop_(loop),
      cluster_(std::move(cluster)),
      lag_(lag),
      records_(records),
      server_(
          loop, "127.0.0.1", 0,
          [this](Server::Token t, const http::Head& h, const std::string& b) { handle(t, h, b); }) {
}

void DiscoveryServer::change(std::function<void()> make) {
    if (lag_ <= Micros(0)) return make(), void(++version_);
    loop_.after(lag_, [this, make = std::move(make)] { make(), ++version_; });
}
void DiscoveryServer::set(const std::string& host, const DiscoveryEntry& entry) {
    change([this, host, entry] { hosts_[host] = entry; });
}
void DiscoveryServer::remove(const std::string& host) {
    change([this, host] { hosts_.erase(host); });
}

std::string DiscoveryServer::json() const {
    std::map<std::string, nlohmann::json> zones;
    for (const auto& [host, e] : hosts_) {
        const std::size_t colon = host.rfind(':');
        std::string ip = host.substr(0, colon);
        if (ip.front() == '[') ip = ip.substr(1, ip.size() - 2);
        nlohmann::json own = {
            {"kind", e.kind}, {"cell", e.cell}, {"started_unix_ms", e.started_unix_ms}};
        zones[e.zone].push_back(
            {{"endpoint",
              {{"address",
                {{"socketAddress",
                  {{"address", ip}, {"portValue", std::stoi(host.substr(colon + 1))}}}}}}},
             {"healthStatus", e.state},
             {"metadata", {{"filterMetadata", {{"silverreach", own}}}}}});
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (auto& [zone, list] : zones)
        endpoints.push_back({{"locality", {{"zone", zone}}}, {"lbEndpoints", list}});
    const std::string type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    const nlohmann::json resource = {
        {"@type", type}, {"clusterName", cluster_}, {"endpoints", endpoints}};
    return nlohmann::json{
        {"versionInfo", std::to_string(version_)}, {"typeUrl", type}, {"resources", {resource}}}
        .dump();
}

void DiscoveryServer::handle(Server::Token token, const http::Head& head, const std::string& body) {
    const auto request = nlohmann::json::parse(body, nullptr, false);
    if (head.target != "/v3/discovery:endpoints" || !request.is_object()) {
        server_.answer(token, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false);
        return;
    }
    if (request.value("versionInfo", "") == std::to_string(version_)) {
        server_.answer(token, "HTTP/1.1 304 Not Modified\r\n\r\n", false);
        return;
    }
    const std::string text = json();
    const std::string node = request.contains("node") ? request["node"].value("id", "") : "";
    nlohmann::json states = nlohmann::json::object();
    for (const auto& [host, entry] : hosts_)
        states[host] = entry.state;
    records_.add(
        loop_.now(), "roster", "told",
        {{"gateway", std::atoi(node.substr(node.rfind('-') + 1).c_str())}, {"hosts", states}});
    server_.answer(
        token,
        fmt::format(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.size()) +
            text,
        false);
}

}  // namespace silverreach::fakes

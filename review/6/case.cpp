// Case 6: a new API description, in JSON, is read while traffic flows.
//
// One HTTP gateway, two hosts, four clients that ask one request after another. The description is
// replaced by a new version with one more route, and SIGHUP is sent. A parameter of the new route
// has a maximum that is larger than a double can hold. Without the disruption the new version is
// the same but for that number. The rule: the gateway goes on, under the new description or the old
// one, and every request that it has taken is answered.

#include "../standins-2/standins.h"

using namespace standins;

namespace {
constexpr double work_ms = 300;
constexpr int client_count = 4;

std::string description(const std::string& version, const std::string& further_paths) {
    return R"({"openapi": "3.1.0", "info": {"title": "Bird counts", "version": ")" + version +
           R"("},
 "x-silverreach-class": "tally-read",
 "x-silverreach-units": 1,
 "security": [{"partnerKey": []}],
 "components": {"securitySchemes": {"partnerKey": {"type": "apiKey", "in": "header", "name": "X-Api-Key"}}},
 "paths": {
  "/tally": {"get": {"operationId": "readTally", "responses": {"200": {"description": "The tally"}}}})" +
           further_paths + "}}\n";
}
// A route with a query parameter that is a number up to `maximum`.
std::string area_route(const std::string& maximum) {
    return R"(,
  "/areas": {"get": {"operationId": "findAreas",
   "parameters": [{"name": "hectares", "in": "query", "schema": {"type": "number", "minimum": 0, "maximum": )" +
           maximum + R"(}}],
   "responses": {"200": {"description": "The areas"}}}})";
}

struct Client {
    ConnectionPtr connection;
    bool waits = false;
    std::string id;
};
}  // namespace

int main(int count, char** arguments) {
    const CaseOptions options = case_options(count, arguments);
    Record record(options.record);
    record.line(options.trouble ? "with the disruption" : "without the disruption");
    Loop loop;
    std::vector<std::shared_ptr<Listener>> hosts;
    std::string endpoints;
    for (int i = 0; i < 2; ++i) {
        hosts.push_back(Listener::open(loop, [&, i](const ConnectionPtr& connection) {
            connection->on_input = [&, i, weak = std::weak_ptr<Connection>(connection)] {
                const ConnectionPtr peer = weak.lock();
                const std::size_t end = peer->input.find("\r\n\r\n");
                if (end == std::string::npos) return;
                record.line(format("host %d runs %s", i,
                                   peer->input.substr(0, peer->input.find(" HTTP")).c_str()));
                peer->input.erase(0, end + 4);
                loop.after(work_ms, [peer] {
                    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                });
            };
        }));
        endpoints += format(
            R"(%s{"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":%d}}}})",
            i > 0 ? "," : "", hosts.back()->port());
    }
    write_file(options.folder + "/hosts.json",
               R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[)" + endpoints + "]}]}");
    write_file(options.folder + "/api.json", description("1", ""));
    write_file(options.folder + "/gateway.textproto", R"(listen { address: "127.0.0.1:0" }
api { description: "api.json" }
class { name: "tally-read" aim_ms: 800 deadline_ms: 2000 }
plan { name: "basic" rate: 50 burst: 100 }
account { name: "wetlands" plan: "basic" key: "key-wetlands" }
hosts { file: "hosts.json" }
attempts { most: 3 }
)");
    const Gateway gateway(
        "exec " + options.program + " serve --config " + options.folder + "/gateway.textproto", {},
        options.folder + "/gateway.log");
    const int port = gateway.wait_for_port(loop, "listening on port", " port ");

    std::size_t sent = 0, answered = 0, served_count = 0, lost = 0;
    std::string path = "/tally";
    int last_status = 0;
    bool asks = true;
    std::vector<std::unique_ptr<Client>> clients;
    const std::function<void(Client&)> ask = [&](Client& client) {
        client.id = format("%zu", ++sent);
        client.waits = true;
        record.line("client sends request " + client.id + " " + path);
        client.connection->write("GET " + path + " HTTP/1.1\r\nHost: birds.example\r\n" +
                                 "X-Api-Key: key-wetlands\r\nX-Request-Id: " + client.id +
                                 "\r\n\r\n");
    };
    for (int i = 0; i < client_count; ++i) {
        clients.push_back(std::make_unique<Client>());
        Client& client = *clients.back();
        client.connection = connect_to(loop, port);
        if (!client.connection) give_up("no connection to the gateway");
        client.connection->on_input = [&] {
            std::string& input = client.connection->input;
            const std::size_t end = input.find("\r\n\r\n");
            const std::size_t length = input.find("Content-Length: ");
            if (end == std::string::npos || length == std::string::npos) return;
            const std::size_t body = std::strtoul(input.c_str() + length + 16, nullptr, 10);
            if (input.size() < end + 4 + body) return;
            last_status = std::atoi(input.c_str() + 9);
            record.line(format("answer to request %s: %d", client.id.c_str(), last_status));
            input.erase(0, end + 4 + body);
            client.waits = false;
            ++answered;
            if (last_status == 200) ++served_count;
            if (asks) ask(client);
        };
        client.connection->on_closed = [&](bool with_reset) {
            record.line(format("the connection of request %s ends%s%s", client.id.c_str(),
                               with_reset ? " with a reset" : "",
                               client.waits ? ", without an answer" : ""));
            if (client.waits) ++lost;
            client.waits = false;
        };
    }
    for (const auto& client : clients)
        ask(*client);
    loop.run(3000);
    if (served_count < 8) give_up("the requests were not served at first");

    const std::string maximum = options.trouble ? "1.79769313486232e+308" : "1000000";
    write_file(options.folder + "/api.json.new", description("2", area_route(maximum)));
    std::rename((options.folder + "/api.json.new").c_str(), (options.folder + "/api.json").c_str());
    record.line("a new description, maximum " + maximum + "; SIGHUP");
    gateway.signal(SIGHUP);
    loop.run(2000);
    asks = false;
    loop.run(3000, [&] {
        return std::none_of(clients.begin(), clients.end(),
                            [](const auto& client) { return client->waits; });
    });
    const bool has_ended = gateway.has_ended();
    if (!has_ended && !options.trouble) {
        path = "/areas?hectares=5";
        ask(*clients.front());
        loop.run(2000, [&] { return !clients.front()->waits; });
        if (last_status != 200) give_up("the new route is not served");
    }
    for (const auto& client : clients)
        if (client->waits) ++lost;
    record.line(
        format("%zu sent, %zu answered, %zu served, %zu lost", sent, answered, served_count, lost));
    std::istringstream log(read_file(options.folder + "/gateway.log"));
    for (std::string line; std::getline(log, line);)
        if (line.find(" I ") == std::string::npos) record.line("gateway: " + line);
    if (has_ended) record.line("RULE BROKEN: the gateway has ended by itself");
    if (lost > 0) record.line(format("RULE BROKEN: %zu requests lost", lost));
    if (!has_ended && lost == 0) record.line("the rule held");
    return has_ended || lost > 0 ? rule_broken : rule_held;
}

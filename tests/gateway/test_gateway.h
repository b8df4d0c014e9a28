// A gateway in the test process, HTTP hosts whose bytes a test scripts, and raw clients. All run on
// one event loop over loopback.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "cli/instance.h"
#include "fakes/server.h"
#include "tests/support/loopback.h"

namespace gateway_test {
using namespace silverreach;
using namespace std::chrono_literals;
using test_support::Client;

// A host that records what it receives and responds through a callback.
struct ScriptedHost : event::StreamOwner {
    struct Peer : event::StreamOwner {
        ScriptedHost& host;
        event::Stream stream;
        std::string received;
        Peer(ScriptedHost& scripted_host, event::Fd fd)
            : host(scripted_host), stream(scripted_host.loop, std::move(fd), *this) {}
        void on_data(std::string_view data) override {
            received.append(data), host.bytes.append(data);
            // A request is complete with its head and the number of bytes in Content-Length.
            while (true) {
                const auto end = received.find("\r\n\r\n");
                if (end == std::string::npos) return;
                const auto length = received.find("Content-Length: ");
                const std::size_t body =
                    length < end ? std::stoul(received.substr(length + 16)) : 0;
                if (received.size() < end + 4 + body) return;
                const std::string request = received.substr(0, end + 4 + body);
                received.erase(0, end + 4 + body);
                host.requests.push_back(request);
                if (host.respond) host.respond(*this, request);
            }
        }
        void on_end() override { stream.close(), ++host.ended_count; }
        void on_error(int) override { ++host.ended_count; }
    };
    event::Loop& loop;
    std::string bytes;  // received on all connections
    std::vector<std::string> requests;
    int ended_count = 0;
    std::function<void(Peer&, const std::string&)> respond = [](Peer& peer, const std::string&) {
        peer.stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    std::vector<std::unique_ptr<Peer>> peers;
    event::Listener listener;
    explicit ScriptedHost(event::Loop& event_loop)
        : loop(event_loop),
          listener(
              event_loop, "127.0.0.1", 0, false, [] { return true; },
              [this](event::Fd fd, std::string) {
                  peers.push_back(std::make_unique<Peer>(*this, std::move(fd)));
              }) {}
    void on_data(std::string_view) override {}
    void on_end() override {}
    void on_error(int) override {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
};

struct Options {
    int hosts = 1;
    std::string listen_fields, hosts_fields, extra_config, description;
    bool accounts = true;
    int connect_ms = 200, deadline_ms = 1000;
    int unscripted_port = 0;  // of a host on loopback that is not in `hosts`; 0: none
    std::string log_file = "/dev/null";
};

class TestGateway : public test_support::LoopRunner {
  public:
    explicit TestGateway(const Options& options = {})
        : log_(log::Format::json, log::Level::debug, options.log_file) {
        signal(SIGPIPE, SIG_IGN);
        char folder_template[] = "/tmp/silverreach-test-XXXXXX";
        folder_ = mkdtemp(folder_template);
        for (int i = 0; i < options.hosts; ++i)
            hosts.push_back(std::make_unique<ScriptedHost>(loop));
        write_host_list(options.unscripted_port);
        write_description(options.description.empty() ? default_description()
                                                      : options.description);
        const std::string text =
            R"(listen { address: "127.0.0.1:0" deadline_header: "X-Deadline-Ms" )" +
            options.listen_fields +
            R"( }
api { description: "api.yaml" }
class { name: "read" aim_ms: 500 repeat_window_ms: 2000 deadline_ms: )" +
            std::to_string(options.deadline_ms) + R"( }
plan { name: "basic" rate: 1000 burst: 1000 }
plan { name: "tiny" rate: 0.01 burst: 2 }
)" +
            std::string(options.accounts
                            ? "account { name: \"birds\" plan: \"basic\" key: \"k1\" }\naccount { "
                              "name: \"wrens\" plan: \"tiny\" key: \"k2\" }\n"
                            : "") +
            R"(hosts { file: "hosts.json" connect_ms: )" + std::to_string(options.connect_ms) +
            " " + options.hosts_fields +
            R"( }
attempts { most: 3 second_copies: true }
host_answers { full { status: 503 header: "Full" } }
seed: 5
)" + options.extra_config;
        std::vector<openapi::Problem> problems;
        config = config::parse(text, "test", problems);
        for (const auto& problem : problems)
            ADD_FAILURE() << openapi::to_string(problem);
        instance = std::make_unique<cli::Instance>(loop, *config, folder_, log_);
    }
    ~TestGateway() {
        instance.reset();
        std::system(("rm -rf '" + folder_ + "'").c_str());
    }
    static std::string default_description() {
        return R"(openapi: 3.1.0
info: {title: t, version: "1"}
x-silverreach-class: read
x-silverreach-units: 1
components: {securitySchemes: {k: {type: apiKey, in: header, name: X-Key}}}
paths:
  /a: {get: {}, post: {}, put: {}}
  /a/{id}: {get: {parameters: [{name: id, in: path}]}}
  /keyed: {post: {parameters: [{name: Idempotency-Key, in: header}]}}
  /safe: {post: {x-silverreach-effect: safe}}
  /mine: {get: {security: [{k: []}]}}
)";
    }
    void write_description(const std::string& text) { write("api.yaml", text); }
    void write(const std::string& name, const std::string& text) {
        std::ofstream(folder_ + "/" + name, std::ios::binary) << text;
    }
    void write_host_list(int unscripted_port = 0) {
        std::string endpoints;
        const auto add = [&](int port) {
            endpoints +=
                (endpoints.empty() ? "" : ",") +
                std::string(
                    R"({"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)") +
                std::to_string(port) + "}}}}";
        };
        for (const auto& host : hosts)
            add(host->listener.port());
        if (unscripted_port != 0) add(unscripted_port);
        write("hosts.json",
              R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[)" + endpoints + "]}]}");
    }
    const std::string& folder() const { return folder_; }
    void flush_log() { log_.flush(); }
    bool reload() {
        bool is_done = false, is_accepted = false;
        instance->reload([&](bool accepted) { is_done = true, is_accepted = accepted; });
        run_until([&] { return is_done; });
        return is_accepted;
    }
    std::unique_ptr<Client> connect() { return std::make_unique<Client>(loop, instance->port()); }
    // Sends the bytes on a new connection. Returns what the gateway sends until it closes the
    // connection or the timeout passes.
    std::string exchange(const std::string& bytes, std::chrono::milliseconds timeout = 5s) {
        auto client = connect();
        client->stream.write(bytes);
        run_until([&] { return client->is_closed(); }, timeout);
        return client->received;
    }
    static std::string get_request(const std::string& path, const std::string& extra_fields = "") {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + extra_fields +
               "\r\n";
    }
    std::size_t request_count() const {
        std::size_t count = 0;
        for (const auto& host : hosts)
            count += host->requests.size();
        return count;
    }

    std::vector<std::unique_ptr<ScriptedHost>> hosts;
    std::unique_ptr<config::Config> config;
    std::unique_ptr<cli::Instance> instance;

  private:
    log::Log log_;
    std::string folder_;
};

inline int status(const std::string& response) {
    return response.size() < 12 ? 0 : std::atoi(response.c_str() + 9);
}
inline std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}
inline bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}
}  // namespace gateway_test

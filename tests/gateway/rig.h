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
#include "tests/support/loop.h"

namespace rig {
using namespace silverreach;
using namespace std::chrono_literals;
using test_support::Client;

// A host that records what it receives and responds through a callback.
struct ScriptedHost : event::StreamOwner {
    struct Peer : event::StreamOwner {
        ScriptedHost& host;
        event::Stream stream;
        std::string got;
        Peer(ScriptedHost& h, event::Fd fd) : host(h), stream(h.loop, std::move(fd), *this) {}
        void on_data(std::string_view b) override {
            got.append(b), host.bytes.append(b);
            // A request is complete with its head and the number of bytes in Content-Length.
            while (true) {
                const auto end = got.find("\r\n\r\n");
                if (end == std::string::npos) return;
                const auto length = got.find("Content-Length: ");
                const std::size_t body = length < end ? std::stoul(got.substr(length + 16)) : 0;
                if (got.size() < end + 4 + body) return;
                const std::string request = got.substr(0, end + 4 + body);
                got.erase(0, end + 4 + body);
                host.requests.push_back(request);
                if (host.respond) host.respond(*this, request);
            }
        }
        void on_end() override { stream.close(), ++host.ended; }
        void on_broken(int) override { ++host.ended; }
    };
    event::Loop& loop;
    std::string bytes;  // received on all connections
    std::vector<std::string> requests;
    int ended = 0;
    std::function<void(Peer&, const std::string&)> respond = [](Peer& p, const std::string&) {
        p.stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    std::vector<std::unique_ptr<Peer>> peers;
    event::Listener listener;
    explicit ScriptedHost(event::Loop& l)
        : loop(l),
          listener(
              l, "127.0.0.1", 0, false, [] { return true; },
              [this](event::Fd fd, std::string) {
                  peers.push_back(std::make_unique<Peer>(*this, std::move(fd)));
              }) {}
    void on_data(std::string_view) override {}
    void on_end() override {}
    void on_broken(int) override {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
};

struct Options {
    int hosts = 1;
    std::string listen, more, description;
    bool accounts = true;
    int connect_ms = 200, deadline_ms = 1000;
    int other_port = 0;  // of a host on loopback that is not in `hosts`; 0: none
};

class TestGateway : public test_support::OnLoop {
  public:
    explicit TestGateway(const Options& o = {})
        : log_(log::Format::json, log::Level::debug, "/dev/null") {
        signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/silverreach-test-XXXXXX";
        folder_ = mkdtemp(name);
        for (int i = 0; i < o.hosts; ++i)
            hosts.push_back(std::make_unique<ScriptedHost>(loop));
        list_hosts(o.other_port);
        describe(o.description.empty() ? default_description() : o.description);
        const std::string text =
            R"(listen { address: "127.0.0.1:0" deadline_header: "X-Deadline-Ms" )" + o.listen +
            R"( }
api { description: "api.yaml" }
class { name: "read" aim_ms: 500 repeat_window_ms: 2000 deadline_ms: )" +
            std::to_string(o.deadline_ms) + R"( }
plan { name: "basic" rate: 1000 burst: 1000 }
plan { name: "tiny" rate: 0.01 burst: 2 }
)" +
            std::string(o.accounts
                            ? "account { name: \"birds\" plan: \"basic\" key: \"k1\" }\naccount { "
                              "name: \"wrens\" plan: \"tiny\" key: \"k2\" }\n"
                            : "") +
            R"(hosts { file: "hosts.json" connect_ms: )" + std::to_string(o.connect_ms) + R"( }
attempts { most: 3 second_copies: true }
host_answers { full { status: 503 header: "Full" } }
seed: 5
)" + o.more;
        std::vector<openapi::Problem> problems;
        config = config::parse(text, "test", problems);
        for (const auto& p : problems)
            ADD_FAILURE() << openapi::to_string(p);
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
    void describe(const std::string& text) { write("api.yaml", text); }
    void write(const std::string& name, const std::string& text) {
        std::ofstream(folder_ + "/" + name, std::ios::binary) << text;
    }
    void list_hosts(int other_port = 0) {
        std::string list;
        const auto add = [&](int port) {
            list +=
                (list.empty() ? "" : ",") +
                std::string(
                    R"({"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)") +
                std::to_string(port) + "}}}}";
        };
        for (const auto& h : hosts)
            add(h->listener.port());
        if (other_port != 0) add(other_port);
        write("hosts.json",
              R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[)" + list + "]}]}");
    }
    bool reload() {
        bool over = false, good = false;
        instance->reload([&](bool g) { over = true, good = g; });
        run([&] { return over; });
        return good;
    }
    std::unique_ptr<Client> connect() { return std::make_unique<Client>(loop, instance->port()); }
    // Sends the bytes on a new connection. Returns what the gateway sends until it closes the
    // connection or the timeout passes.
    std::string talk(const std::string& bytes, std::chrono::milliseconds most = 5s) {
        auto c = connect();
        c->stream.write(bytes);
        run([&] { return c->over(); }, most);
        return c->got;
    }
    static std::string get(const std::string& path, const std::string& fields = "") {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields + "\r\n";
    }
    std::size_t requests() const {
        std::size_t n = 0;
        for (const auto& h : hosts)
            n += h->requests.size();
        return n;
    }

    std::vector<std::unique_ptr<ScriptedHost>> hosts;
    std::unique_ptr<config::Config> config;
    std::unique_ptr<cli::Instance> instance;

  private:
    log::Log log_;
    std::string folder_;
};

inline int status(const std::string& answer) {
    return answer.size() < 12 ? 0 : std::atoi(answer.c_str() + 9);
}
inline bool has(const std::string& text, const std::string& words) {
    return text.find(words) != std::string::npos;
}
}  // namespace rig

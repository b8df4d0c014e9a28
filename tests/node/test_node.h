// A node in the test process, RESP hosts and a discovery service whose bytes a test scripts, and
// raw clients. All run on one event loop over loopback.
#pragma once

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/node.h"
#include "resp/command_parser.h"
#include "resp/serializer.h"
#include "tests/node/settings.h"
#include "tests/support/delayed_accept_host.h"
#include "tests/support/loopback.h"

namespace node_test {
using namespace silverreach;
using namespace std::chrono_literals;
using test_support::Client;
using test_support::DelayedAcceptHost;

// Accepts connections and passes the bytes received on each to a callback.
struct ScriptedServer {
    struct Peer : event::StreamOwner {
        ScriptedServer& owner;
        event::Stream stream;
        std::string received;
        bool is_closed = false;
        Peer(ScriptedServer& server, event::Fd fd)
            : owner(server), stream(server.loop, std::move(fd), *this) {}
        void on_data(std::string_view bytes) override {
            received.append(bytes), owner.on_received(*this);
        }
        void on_end() override { is_closed = true, stream.close(), ++owner.ended_count; }
        void on_error(int) override { is_closed = true, ++owner.ended_count; }
    };
    event::Loop& loop;
    std::vector<std::unique_ptr<Peer>> peers;
    int ended_count = 0;
    std::function<void(Peer&)> on_received;
    event::Listener listener;
    ScriptedServer(event::Loop& event_loop, std::function<void(Peer&)> on_peer_data)
        : loop(event_loop),
          on_received(std::move(on_peer_data)),
          listener(
              event_loop, "127.0.0.1", 0, false, [] { return true; },
              [this](event::Fd fd, const std::string&) {
                  peers.push_back(std::make_unique<Peer>(*this, std::move(fd)));
              }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
};

using Arguments = std::vector<std::string>;

inline std::string host_response(const std::string& value, const std::string& report = "") {
    std::string out;
    resp::append_array(out, 3);
    resp::append_bulk(out, value);
    out += "$-1\r\n";
    if (report.empty())
        out += "$-1\r\n";
    else
        resp::append_bulk(out, report);
    return out;
}

struct Host : ScriptedServer {
    std::vector<Arguments> commands;
    std::function<void(Peer&, const Arguments&)> respond = [](Peer& peer,
                                                              const Arguments& arguments) {
        peer.stream.write(host_response("for " + arguments[2]));
    };
    explicit Host(event::Loop& event_loop)
        : ScriptedServer(event_loop, [this](Peer& peer) { read_commands(peer); }) {}
    void read_commands(Peer& peer) {
        resp::CommandParser parser;
        while (parser.parse(peer.received) == resp::ParseStatus::complete) {
            Arguments arguments;
            for (std::size_t i = 0; i < parser.argument_count(); ++i)
                arguments.emplace_back(parser.argument(peer.received, i));
            peer.received.erase(0, parser.consumed());
            parser.reset();
            commands.push_back(arguments);
            respond(peer, arguments);
        }
    }
    std::string target(const std::string& uid, const std::string& state = "ready",
                       int cell = 3) const {
        return R"({"uid":")" + uid + R"(","endpoint":")" + address() +
               R"(","az":"a","model":"m","pod_group":)" + std::to_string(cell) + R"(,"state":")" +
               state + R"(","capacity_hint":1,"boot_ms":0})";
    }
};

inline std::string target(const DelayedAcceptHost& host, const std::string& state = "ready") {
    return R"({"uid":"s-1","endpoint":"127.0.0.1:)" + std::to_string(host.port()) +
           R"(","az":"a","model":"m","pod_group":3,"state":")" + state +
           R"(","capacity_hint":1,"boot_ms":0})";
}

struct Discovery : ScriptedServer {
    std::vector<std::string> request_lines;
    std::string initial_list;  // sent to each new watch
    Micros response_delay{0};  // from a request to its response
    explicit Discovery(event::Loop& event_loop)
        : ScriptedServer(event_loop, [this](Peer& peer) { read_requests(peer); }) {}
    void read_requests(Peer& peer) {
        const auto end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) return;
        request_lines.push_back(peer.received.substr(0, peer.received.find("\r\n")));
        peer.received.erase(0, end + 4);
        if (response_delay == 0us) return send_response(peer);
        loop.after(response_delay, [this, &peer] {
            if (!peer.is_closed) send_response(peer);
        });
    }
    void send_response(Peer& peer) const {
        peer.stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (!initial_list.empty()) send_chunk(peer, initial_list + "\n");
    }
    static void send_chunk(Peer& peer, const std::string& text) {
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", text.size());
        peer.stream.write(size + text + "\r\n");
    }
    void send_line(const std::string& line) {
        for (auto& peer : peers)
            if (!peer->is_closed) send_chunk(*peer, line + "\n");
    }
    static std::string list(int revision, bool complete, const std::string& targets) {
        return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" +
               (complete ? "true" : "false") + R"(,"targets":[)" + targets + "]}";
    }
};

inline std::string hex(std::uint64_t value) {
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}
inline std::string query(
    std::uint64_t id, const std::string& list = "c=lookup,t=team,d=1500,units=1,spread=1,first=0",
    const std::string& customer = hex(7)) {
    std::string out;
    resp::append_array(out, 4);
    for (const std::string& argument : {std::string("SVC.QUERY"), customer, hex(id), list})
        resp::append_bulk(out, argument);
    return out;
}
inline std::string submit(std::uint64_t id, const std::string& body) {
    std::string out;
    resp::append_array(out, 5);
    for (const std::string& argument :
         {std::string("SVC.SUBMIT"), hex(7), hex(id),
          "c=order,t=team,d=1500,k=" + hex(id) + ",units=1,spread=1,first=0", body})
        resp::append_bulk(out, argument);
    return out;
}
inline std::string bulk(const std::string& value) {
    std::string out;
    resp::append_bulk(out, value);
    return out;
}

struct Options {
    int hosts = 1, sockets = 256;
    double rate = 1000;
    int memory_mb = 64, connect_ms = 250;
    std::string more_targets = {};
};

class TestNode : public test_support::LoopRunner {
  public:
    explicit TestNode(const Options& options = {})
        : log_(log::Format::json, log::Level::debug, "/dev/null") {
        signal(SIGPIPE, SIG_IGN);
        std::string targets;
        for (int i = 0; i < options.hosts; ++i) {
            hosts.push_back(std::make_unique<Host>(loop));
            targets +=
                (i ? "," : "") + hosts.back()->target("s-" + std::to_string(i + 1), "ready", i);
        }
        if (!options.more_targets.empty())
            targets += (targets.empty() ? "" : ",") + options.more_targets;
        discovery = std::make_unique<Discovery>(loop);
        instance =
            std::make_unique<cli::Node>(loop,
                                        config(discovery->address(), targets, options.sockets,
                                               options.rate, options.memory_mb, options.connect_ms),
                                        log_);
    }
    static platform::NodeConfig config(const std::string& discovery_address,
                                       const std::string& targets, int sockets = 256,
                                       double rate = 1000, int memory_mb = 64,
                                       int connect_ms = 250) {
        return platform::read_config(
            config_json(discovery_address, targets, sockets, rate, memory_mb, connect_ms),
            [](const char*) -> const char* { return nullptr; });
    }
    std::unique_ptr<Client> connect() { return std::make_unique<Client>(loop, instance->port()); }
    // Sends the bytes on a new connection. Returns what the node sends until it has sent `size`
    // bytes, closes the connection or the timeout passes.
    std::string exchange(const std::string& bytes, std::size_t size,
                         std::chrono::milliseconds timeout = 5s) {
        auto client = connect();
        client->stream.write(bytes);
        run_until([&] { return client->is_closed() || client->received.size() >= size; }, timeout);
        return client->received;
    }
    std::size_t command_count() const {
        std::size_t count = 0;
        for (const auto& host : hosts)
            count += host->commands.size();
        return count;
    }

    std::vector<std::unique_ptr<Host>> hosts;
    std::unique_ptr<Discovery> discovery;
    std::unique_ptr<cli::Node> instance;

  private:
    log::Log log_;
};

}  // namespace node_test

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
#include "tests/support/late_host.h"
#include "tests/support/loop.h"

namespace node_test {
using namespace silverreach;
using namespace std::chrono_literals;
using test_support::Client;
using test_support::LateHost;

// Accepts connections and passes the bytes received on each to a callback.
struct Accepting {
    struct Peer : event::StreamOwner {
        Accepting& owner;
        event::Stream stream;
        std::string got;
        bool over = false;
        Peer(Accepting& o, event::Fd fd) : owner(o), stream(o.loop, std::move(fd), *this) {}
        void on_data(std::string_view b) override { got.append(b), owner.data(*this); }
        void on_end() override { over = true, stream.close(), ++owner.ended; }
        void on_broken(int) override { over = true, ++owner.ended; }
    };
    event::Loop& loop;
    std::vector<std::unique_ptr<Peer>> peers;
    int ended = 0;
    std::function<void(Peer&)> data;
    event::Listener listener;
    Accepting(event::Loop& l, std::function<void(Peer&)> on_data)
        : loop(l),
          data(std::move(on_data)),
          listener(
              l, "127.0.0.1", 0, false, [] { return true; },
              [this](event::Fd fd, const std::string&) {
                  peers.push_back(std::make_unique<Peer>(*this, std::move(fd)));
              }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
};

using Words = std::vector<std::string>;

inline std::string served(const std::string& value, const std::string& report = "") {
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

struct Host : Accepting {
    std::vector<Words> commands;
    std::function<void(Peer&, const Words&)> respond = [](Peer& p, const Words& w) {
        p.stream.write(served("for " + w[2]));
    };
    explicit Host(event::Loop& l) : Accepting(l, [this](Peer& p) { take(p); }) {}
    void take(Peer& p) {
        resp::CommandParser reader;
        while (reader.parse(p.got) == resp::ParseStatus::complete) {
            Words words;
            for (std::size_t i = 0; i < reader.argument_count(); ++i)
                words.emplace_back(reader.argument(p.got, i));
            p.got.erase(0, reader.consumed());
            reader.reset();
            commands.push_back(words);
            respond(p, words);
        }
    }
    std::string target(const std::string& uid, const std::string& state = "ready",
                       int cell = 3) const {
        return R"({"uid":")" + uid + R"(","endpoint":")" + address() +
               R"(","az":"a","model":"m","pod_group":)" + std::to_string(cell) + R"(,"state":")" +
               state + R"(","capacity_hint":1,"boot_ms":0})";
    }
};

inline std::string target(const LateHost& host, const std::string& state = "ready") {
    return R"({"uid":"s-1","endpoint":"127.0.0.1:)" + std::to_string(host.port()) +
           R"(","az":"a","model":"m","pod_group":3,"state":")" + state +
           R"(","capacity_hint":1,"boot_ms":0})";
}

struct Discovery : Accepting {
    std::vector<std::string> asked;
    std::string first;   // sent to each new watch
    Micros patience{0};  // delay of each response
    explicit Discovery(event::Loop& l) : Accepting(l, [this](Peer& p) { take(p); }) {}
    void take(Peer& p) {
        const auto end = p.got.find("\r\n\r\n");
        if (end == std::string::npos) return;
        asked.push_back(p.got.substr(0, p.got.find("\r\n")));
        p.got.erase(0, end + 4);
        if (patience == 0us) return answer(p);
        loop.after(patience, [this, &p] {
            if (!p.over) answer(p);
        });
    }
    void answer(Peer& p) const {
        p.stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (!first.empty()) say(p, first + "\n");
    }
    static void say(Peer& p, const std::string& text) {
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", text.size());
        p.stream.write(size + text + "\r\n");
    }
    void say(const std::string& line) {
        for (auto& p : peers)
            if (!p->over) say(*p, line + "\n");
    }
    static std::string list(int rev, bool all, const std::string& targets) {
        return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") +
               R"(,"targets":[)" + targets + "]}";
    }
};

inline std::string hex(std::uint64_t n) {
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}
inline std::string query(
    std::uint64_t id, const std::string& list = "c=lookup,t=team,d=1500,units=1,spread=1,first=0",
    const std::string& customer = hex(7)) {
    std::string out;
    resp::append_array(out, 4);
    for (const std::string& w : {std::string("SVC.QUERY"), customer, hex(id), list})
        resp::append_bulk(out, w);
    return out;
}
inline std::string submit(std::uint64_t id, const std::string& body) {
    std::string out;
    resp::append_array(out, 5);
    for (const std::string& w :
         {std::string("SVC.SUBMIT"), hex(7), hex(id),
          "c=order,t=team,d=1500,k=" + hex(id) + ",units=1,spread=1,first=0", body})
        resp::append_bulk(out, w);
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

class TestNode : public test_support::OnLoop {
  public:
    explicit TestNode(const Options& o = {})
        : log_(log::Format::json, log::Level::debug, "/dev/null") {
        signal(SIGPIPE, SIG_IGN);
        std::string targets;
        for (int i = 0; i < o.hosts; ++i) {
            hosts.push_back(std::make_unique<Host>(loop));
            targets +=
                (i ? "," : "") + hosts.back()->target("s-" + std::to_string(i + 1), "ready", i);
        }
        if (!o.more_targets.empty()) targets += (targets.empty() ? "" : ",") + o.more_targets;
        discovery = std::make_unique<Discovery>(loop);
        node = std::make_unique<cli::Node>(
            loop,
            config(discovery->address(), targets, o.sockets, o.rate, o.memory_mb, o.connect_ms),
            log_);
    }
    static platform::NodeConfig config(const std::string& at, const std::string& targets,
                                       int sockets = 256, double rate = 1000, int memory_mb = 64,
                                       int connect_ms = 250) {
        return platform::read_config(config_json(at, targets, sockets, rate, memory_mb, connect_ms),
                                     [](const char*) -> const char* { return nullptr; });
    }
    std::unique_ptr<Client> connect() { return std::make_unique<Client>(loop, node->port()); }
    // Sends the bytes on a new connection. Returns what the node sends until it has sent `size`
    // bytes, closes the connection or the timeout passes.
    std::string talk(const std::string& bytes, std::size_t size,
                     std::chrono::milliseconds most = 5s) {
        auto c = connect();
        c->stream.write(bytes);
        run([&] { return c->over() || c->got.size() >= size; }, most);
        return c->got;
    }
    std::size_t commands() const {
        std::size_t n = 0;
        for (const auto& h : hosts)
            n += h->commands.size();
        return n;
    }

    std::vector<std::unique_ptr<Host>> hosts;
    std::unique_ptr<Discovery> discovery;
    std::unique_ptr<cli::Node> node;

  private:
    log::Log log_;
};

}  // namespace node_test

// A node process under fault injection, with scripted hosts, discovery and clients in the test's
// own process.
#pragma once

#include <sys/resource.h>

#include "resp/reply_parser.h"
#include "tests/node/test_node.h"
#include "tests/support/node_process.h"

namespace fault_test {
using namespace node_test;
using test_support::NodeProcess;
using test_support::replaced;

// Whole answers in what a client got.
inline std::vector<resp::Reply> replies(const std::string& got) {
    std::vector<resp::Reply> out;
    std::string rest = got;
    resp::ReplyParser reader;
    while (!rest.empty() && reader.parse(rest) == resp::ParseStatus::complete) {
        const std::size_t size = reader.consumed();
        out.push_back(reader.take());
        rest.erase(0, size);
        reader.reset();
    }
    return out;
}
// The figure of a name in a command's list of values.
inline std::int64_t figure(const Arguments& command, const std::string& name) {
    const std::string list = "," + command.at(3);
    const std::size_t at = list.find("," + name + "=");
    return at == std::string::npos ? -1 : std::stoll(list.substr(at + name.size() + 2));
}

class FaultNode : public test_support::OnLoop {
  public:
    explicit FaultNode(int host_count = 1,
                       const std::function<std::string(std::string)>& adapt = {},
                       const std::string& more_targets = "") {
        ::signal(SIGPIPE, SIG_IGN);
        std::string targets;
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<Host>(loop));
            targets += (i ? "," : "") + hosts.back()->target("s-" + std::to_string(i + 1));
        }
        if (!more_targets.empty()) targets += (targets.empty() ? "" : ",") + more_targets;
        discovery = std::make_unique<Discovery>(loop);
        config = config_json(discovery->address(), targets);
        if (adapt) config = adapt(config);
        process = std::make_unique<NodeProcess>(config);
    }
    // Starts the node and waits until it answers.
    bool start(int error_fd = -1, std::chrono::milliseconds most = 5s) {
        process->start(error_fd);
        return ready(most);
    }
    bool ready(std::chrono::milliseconds most = 5s) {
        const auto end = event::Loop::clock() + most;
        while (event::Loop::clock() < end && !process->ended())
            if (talk("*1\r\n$4\r\nPING\r\n", 7, 200ms) == "+PONG\r\n")
                return true;
            else
                pass(20ms);
        return false;
    }
    std::unique_ptr<Client> connect() {
        return std::make_unique<Client>(loop, process->port(), test_support::own_address());
    }
    std::string talk(const std::string& bytes, std::size_t size,
                     std::chrono::milliseconds most = 3s) {
        auto c = connect();
        c->stream.write(bytes);
        run([&] { return c->over() || c->got.size() >= size; }, most);
        return c->got;
    }
    bool serves(std::uint64_t id) { return talk(query(id), 10) == bulk("for " + hex(id)); }
    bool runs() const { return !process->ended(); }

    std::vector<std::unique_ptr<Host>> hosts;
    std::unique_ptr<Discovery> discovery;
    std::string config;
    std::unique_ptr<NodeProcess> process;
};

}  // namespace fault_test

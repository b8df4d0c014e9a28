// Runs a node process under fault injection; its scripted hosts, discovery service and clients run
// in the test's process.
#pragma once

#include <sys/resource.h>

#include "resp/reply_parser.h"
#include "tests/node/test_node.h"
#include "tests/support/node_process.h"

namespace fault_test {
using namespace node_test;
using test_support::NodeProcess;
using test_support::replace_once;

// Returns the complete replies in the bytes that a client received.
inline std::vector<resp::Reply> replies(const std::string& received) {
    std::vector<resp::Reply> parsed;
    std::string remaining = received;
    resp::ReplyParser parser;
    while (!remaining.empty() && parser.parse(remaining) == resp::ParseStatus::complete) {
        const std::size_t size = parser.consumed();
        parsed.push_back(parser.take());
        remaining.erase(0, size);
        parser.reset();
    }
    return parsed;
}
// Returns the number with this name in the command's list of values, or -1 if it is missing.
inline std::int64_t list_value(const Arguments& command, const std::string& name) {
    const std::string list = "," + command.at(3);
    const std::size_t position = list.find("," + name + "=");
    return position == std::string::npos ? -1 : std::stoll(list.substr(position + name.size() + 2));
}

class FaultNode : public test_support::LoopRunner {
  public:
    explicit FaultNode(int host_count = 1,
                       const std::function<std::string(std::string)>& adapt_config = {},
                       const std::string& extra_targets = "") {
        ::signal(SIGPIPE, SIG_IGN);
        std::string targets;
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<Host>(loop));
            targets += (i ? "," : "") + hosts.back()->target("s-" + std::to_string(i + 1));
        }
        if (!extra_targets.empty()) targets += (targets.empty() ? "" : ",") + extra_targets;
        discovery = std::make_unique<Discovery>(loop);
        config = config_json(discovery->address(), targets);
        if (adapt_config) config = adapt_config(config);
        process = std::make_unique<NodeProcess>(config);
    }
    // Starts the node and waits until it answers a PING.
    bool start(int error_fd = -1, std::chrono::milliseconds timeout = 5s) {
        process->start(error_fd);
        return wait_until_ready(timeout);
    }
    bool wait_until_ready(std::chrono::milliseconds timeout = 5s) {
        const auto deadline = event::Loop::clock() + timeout;
        while (event::Loop::clock() < deadline && !process->exit_status())
            if (exchange("*1\r\n$4\r\nPING\r\n", 7, 200ms) == "+PONG\r\n")
                return true;
            else
                run_for(20ms);
        return false;
    }
    std::unique_ptr<Client> connect() {
        return std::make_unique<Client>(loop, process->port(), test_support::own_address());
    }
    std::string exchange(const std::string& bytes, std::size_t min_size,
                         std::chrono::milliseconds timeout = 3s) {
        auto client = connect();
        client->stream.write(bytes);
        run_until([&] { return client->is_closed() || client->received.size() >= min_size; },
                  timeout);
        return client->received;
    }
    bool serves_request(std::uint64_t id) {
        return exchange(query(id), 10) == bulk("for " + hex(id));
    }
    bool is_running() const { return !process->exit_status(); }

    std::vector<std::unique_ptr<Host>> hosts;
    std::unique_ptr<Discovery> discovery;
    std::string config;
    std::unique_ptr<NodeProcess> process;
};

}  // namespace fault_test

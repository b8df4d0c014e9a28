// The environment of the gateways in the soak test: hosts, discovery and clients on loopback, in
// one process and on one event loop. They report what they send and receive to the guarantee
// checker. Each host listens on a separate port for each gateway, which identifies the sender of an
// attempt.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "event/listener.h"
#include "event/stream.h"
#include "resp/command_parser.h"
#include "resp/reply_parser.h"
#include "resp/serializer.h"
#include "tests/soak/guarantee_checker.h"
#include "tests/soak/observer_lag.h"
#include "tests/support/node_process.h"

namespace soak {
using namespace silverreach;
using test_support::NodeProcess;

struct EnvironmentSize {
    int gateways = 24;
    int hosts = 8;
    int clients_per_gateway = 3;  // connections to each gateway
};

class TestEnvironment;

// How a host handles requests at present.
enum class HostMode {
    normal,
    hang,
    reset_connection,
    error,
    busy,
    malformed
};

class Host {
  public:
    Host(TestEnvironment& environment, int number);
    ~Host();
    std::string uid() const;
    int cell() const { return number_ / 2; }
    int port(int gateway) const { return listeners_.at(static_cast<std::size_t>(gateway))->port(); }
    void set_mode(HostMode mode) { mode_ = mode; }
    void crash();       // resets its connections, and new ones until start()
    void start();       // after a crash; the host is cold
    void reset_half();  // resets every other connection, even one with a pending request
    bool is_up() const { return is_up_; }
    std::int64_t boot_ms = 0;

  private:
    struct Connection;
    friend struct Connection;
    void on_accepted(event::Fd fd, int gateway);
    void command(Connection& connection, const std::vector<std::string>& arguments);
    void respond(Connection& connection, std::uint64_t id);
    TestEnvironment& environment_;
    int number_;
    HostMode mode_ = HostMode::normal;
    bool is_up_ = true;
    std::vector<std::unique_ptr<event::Listener>> listeners_;
    std::vector<std::unique_ptr<Connection>> connections_;
};

enum class DiscoveryMode {
    normal,
    silent,
    refuse,
    slow,
    truncated
};

// The discovery service of one gateway.
class DiscoveryServer {
  public:
    DiscoveryServer(TestEnvironment& environment, int gateway);
    ~DiscoveryServer();
    int port() const { return listener_->port(); }
    void set_mode(DiscoveryMode mode);
    void close_watches();
    void send_changes();  // sends the current list to all watches

  private:
    struct Watch;
    friend struct Watch;
    void on_accepted(event::Fd fd);
    void send_list(Watch& watch, bool is_first);
    void send_heartbeat();
    TestEnvironment& environment_;
    int gateway_;
    DiscoveryMode mode_ = DiscoveryMode::normal;
    std::unique_ptr<event::Listener> listener_;
    std::vector<std::unique_ptr<Watch>> watches_;
};

struct Gateway {
    std::string name;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<DiscoveryServer> discovery,
        alternate_discovery;  // the alternate is used after a reload
    bool uses_alternate = false;
    bool is_expected_down = false, is_ready = false, has_full_log_pipe = false;
    Micros started_at{0}, terminated_at{0};
    int start_count = 0;
    DiscoveryServer& active_discovery() const {
        return uses_alternate ? *alternate_discovery : *discovery;
    }
};

class TestEnvironment {
  public:
    TestEnvironment(event::Loop& loop, EnvironmentSize size, std::uint64_t seed,
                    GuaranteeChecker& checker);
    ~TestEnvironment();

    void start_gateway(int gateway);
    void stop_clients();
    void save_logs(const std::string& directory) const;  // one file per gateway, by its name
    std::string config(int gateway) const;
    std::string targets(int gateway) const;
    void update_list();  // sends the list to the watches of all gateways
    std::uint64_t next_id() { return ++last_id_; }
    // Tells the checker how late the test's loop runs. Called before what arrived is checked.
    void update_observer_lag();
    Micros now() const { return event::Loop::clock(); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
    int random_below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random); }

    event::Loop& loop;
    const EnvironmentSize size;
    GuaranteeChecker& checker;
    std::mt19937_64 random;
    int revision = 1;
    std::vector<std::unique_ptr<Host>> hosts;
    std::set<int> draining_hosts, removed_hosts;  // host numbers
    std::vector<Gateway> gateways;
    // By request id: one check for each connection on which a host received the request. The check
    // ends the attempt if the gateway has closed the connection, so that a cancellation is seen
    // before the next attempt.
    std::map<std::uint64_t, std::vector<std::function<void()>>> disconnect_checks;

  private:
    class Client;
    friend class Client;
    void watch_processes();
    void measure_lag();
    std::uint64_t last_id_ = 0;
    bool clients_stopped_ = false;
    std::vector<std::unique_ptr<Client>> clients_;
    event::Fd full_pipe_read_end_, full_pipe_write_end_;
    ObserverLag lag_;
};

// Injects random faults for `duration`; their kind, time and target are drawn from the
// environment's random generator. Calls `report` with a description of each fault.
void inject_faults(TestEnvironment& environment, Micros duration,
                   std::function<void(std::string)> report);

}  // namespace soak

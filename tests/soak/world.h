// What surrounds the gateways in the soak test: hosts, discovery and clients on loopback, all in
// one process and on one loop, each telling the ledger what passes. Hosts listen on a port of their
// own for each gateway, so that it is known who sent what.
#pragma once

#include <deque>
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
#include "tests/soak/ledger.h"
#include "tests/support/node_process.h"

namespace soak {
using namespace silverreach;
using test_support::NodeProcess;

struct Size {
    int gateways = 24;
    int hosts = 8;
    int clients_each = 3;  // connections to each gateway
};

class World;

// How a host treats what comes now.
enum class HostMode {
    well,
    hangs,
    resets,
    fails,
    busy,
    spoils
};

class Host {
  public:
    Host(World& world, int number);
    ~Host();
    std::string uid() const;
    int cell() const { return number_ / 2; }
    int port(int gateway) const { return listeners_.at(static_cast<std::size_t>(gateway))->port(); }
    void mode(HostMode mode) { mode_ = mode; }
    void crash();       // its connections are reset; what comes is reset too, until it starts
    void start();       // after a crash: cold
    void reset_some();  // every other connection, whatever is on it
    bool up() const { return up_; }
    std::int64_t boot_ms = 0;

  private:
    struct Peer;
    friend struct Peer;
    void accepted(event::Fd fd, int gateway);
    void command(Peer& peer, const std::vector<std::string>& words);
    void respond(Peer& peer, std::uint64_t id);
    World& world_;
    int number_;
    HostMode mode_ = HostMode::well;
    bool up_ = true;
    std::vector<std::unique_ptr<event::Listener>> listeners_;
    std::vector<std::unique_ptr<Peer>> peers_;
};

enum class DirectoryMode {
    well,
    silent,
    refuses,
    slow,
    torn
};

// Discovery as one gateway sees it.
class Directory {
  public:
    Directory(World& world, int gateway);
    ~Directory();
    int port() const { return listener_->port(); }
    void mode(DirectoryMode mode);
    void end_watches();
    void tell_changes();  // what has changed since each watch was told

  private:
    struct Watcher;
    friend struct Watcher;
    void accepted(event::Fd fd);
    void tell(Watcher& watcher, bool whole);
    void beat();
    World& world_;
    int gateway_;
    DirectoryMode mode_ = DirectoryMode::well;
    std::unique_ptr<event::Listener> listener_;
    std::vector<std::unique_ptr<Watcher>> watchers_;
};

struct Gateway {
    std::string name;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<Directory> directory, other;  // `other` after a new configuration
    bool moved = false;                           // to the other one
    bool expected_down = false, ready = false, full_log = false;
    Micros started{0}, terminated{0};
    int starts = 0;
    Directory& followed() const { return moved ? *other : *directory; }
};

class World {
  public:
    World(event::Loop& loop, Size size, std::uint64_t seed, Ledger& ledger);
    ~World();

    void start_gateway(int gateway);
    void stop_clients();
    void keep_logs(const std::string& folder) const;  // of every gateway, by its name
    std::string config(int gateway) const;
    std::string targets(int gateway) const;
    void list_changed();  // tells every directory
    std::uint64_t next_id() { return ++ids_; }
    Micros now() const { return event::Loop::clock(); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
    int below(int most) { return std::uniform_int_distribution<int>(0, most - 1)(random); }

    event::Loop& loop;
    const Size size;
    Ledger& ledger;
    std::mt19937_64 random;
    int revision = 1;
    std::vector<std::unique_ptr<Host>> hosts;
    std::set<int> draining, gone;  // hosts, by number
    std::vector<Gateway> gateways;
    // Which host works on a request, so that a cancel is seen before what follows it.
    std::map<std::uint64_t, std::vector<std::function<void()>>> at_hosts;

  private:
    class Client;
    friend class Client;
    void watch_processes();
    void measure_lag();
    std::uint64_t ids_ = 0;
    bool clients_stopped_ = false;
    std::vector<std::unique_ptr<Client>> clients_;
    event::Fd full_pipe_read_, full_pipe_write_;
    Micros lag_due_{0};
    std::deque<std::pair<Micros, Micros>> lags_;
};

// Makes the troubles of a day for `span`: which, when and where, by the world's seed. `tell` hears
// of each.
void play_troubles(World& world, Micros span, std::function<void(std::string)> tell);

}  // namespace soak

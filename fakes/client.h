// Clients of the gateways on loopback: they send at a stated rate, give up at their deadline, and
// try again as the answers allow.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event/deferred_deletion.h"
#include "event/stream.h"
#include "fakes/recorder.h"
#include "http/parser.h"

namespace silverreach::fakes {

struct Flow {  // of one account's requests to one route
    std::string account, key, method = "GET", target = "/", effect = "safe",
                              key_header = "X-Api-Key";
    double rate = 1;  // requests a second
    double units = 1;
    Micros deadline{0};
    int body = 0;           // bytes
    int retries = 0;        // tries again after a refusal, at most
    double burst_rate = 0;  // instead of `rate` between burst_from and burst_until
    Micros burst_from{0}, burst_until{0};
};

class Clients {
  public:
    // `gateways` gives the ports that can be reached now; a port below 1 is one that clients still
    // try in vain.
    Clients(event::Loop& loop, std::uint64_t seed, Recorder& records,
            std::function<std::vector<int>()> gateways);
    ~Clients();
    void run(const Flow& flow, Micros until);
    void ask(const Flow& flow, int gateway);  // one request now, at that gateway
    std::size_t waiting() const { return waiting_; }

  private:
    struct Connection;
    struct Try {
        Flow flow;
        std::string id, op;
        int retry = 0;
    };
    void arrive(std::size_t flow);
    void send(Try t);
    void send(Try t, int gateway);
    void over(Connection& c, bool reuse);
    Connection* connection(int gateway, int port);
    void ended(const Try& t, int status, Micros retry_after, bool harmless);
    std::string make_id();

    event::Loop& loop_;
    std::mt19937_64 random_;
    Recorder& records_;
    std::function<std::vector<int>()> gateways_;
    Micros begin_{0};
    std::vector<std::pair<Flow, Micros>> flows_;
    std::map<int, std::vector<std::unique_ptr<Connection>>> idle_;  // by port
    std::vector<std::unique_ptr<Connection>> in_use_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::size_t waiting_ = 0;
    std::uint64_t next_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::fakes

// Fake clients of the gateways on loopback: they send requests at a stated rate, give up after
// their deadline and retry as the responses allow.
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

struct Flow {  // requests of one account to one route
    std::string account, key, method = "GET", target = "/", effect = "safe",
                              key_header = "X-Api-Key";
    double rate = 1;  // requests per second
    double units = 1;
    Micros deadline{0};
    int body_size = 0;                     // bytes
    int retries = 0;                       // maximum per operation
    double burst_rate = 0;                 // replaces `rate` between burst_from and burst_until
    Micros burst_from{0}, burst_until{0};  // since the flow started
};

class Clients {
  public:
    // `gateway_ports` returns the current port of each gateway by rank; below 1: the gateway is
    // down. Clients still choose such a gateway, and the request fails as unreached.
    Clients(event::Loop& loop, std::uint64_t seed, Recorder& records,
            std::function<std::vector<int>()> gateway_ports);
    ~Clients();
    void run(const Flow& flow, Micros duration);  // sends requests for `duration`
    void send_one(const Flow& flow, int gateway);
    std::size_t in_flight() const { return in_flight_; }

  private:
    struct Connection;
    struct Request {
        Flow flow;
        std::string id, operation;
        int retry = 0;
    };
    void schedule_request(std::size_t flow_index);
    void send(Request request);
    void send(Request request, int gateway);
    void release(Connection& connection, bool reuse);
    Connection* acquire_connection(int gateway, int port);
    void on_request_ended(const Request& request, int status, Micros retry_after,
                          bool may_retry_safely);
    std::string make_id();

    event::Loop& loop_;
    std::mt19937_64 random_;
    Recorder& records_;
    std::function<std::vector<int>()> gateway_ports_;
    Micros began_at_{0};
    std::vector<std::pair<Flow, Micros>> flows_;                    // each with its duration
    std::map<int, std::vector<std::unique_ptr<Connection>>> idle_;  // by port
    std::vector<std::unique_ptr<Connection>> in_use_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::size_t in_flight_ = 0;
    std::uint64_t next_id_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::fakes

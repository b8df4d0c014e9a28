// A tally host on a loopback socket: the model behind HTTP, with the faults that a bad day needs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "fakes/host_model.h"
#include "fakes/recorder.h"
#include "fakes/server.h"

namespace silverreach::fakes {

// Which keyed effects the hosts of one group remember, with the time each ran.
struct Group {
    Micros window{0};
    std::unordered_map<std::string, Micros> ran;
};

struct HostSettings {
    TallySettings tally;
    Micros mean_work{20'000};
    std::string key_header = "X-Api-Key", units_header = "X-Units";
    std::string ip = "127.0.0.1";
    int port = 0;
    std::string zone, kind;
    int cell = 0;
};

class Host {
  public:
    // `plan_of` tells the plan of an account's key, for refusals of one plan. All references must
    // outlive the host.
    Host(event::Loop& loop, HostSettings settings, std::uint64_t seed, Recorder& records,
         std::shared_ptr<Group> group, std::function<std::string(const std::string&)> plan_of);
    ~Host();

    const std::string& address() const { return address_; }
    const HostSettings& settings() const { return s_; }
    bool running() const { return server_ != nullptr; }
    std::int64_t started_unix_ms() const { return started_unix_ms_; }

    void kill();            // as the process would die: connections break
    void start(bool cold);  // on the same address
    void stall(bool on);  // reads on, so that records hold the time of sending, but answers nothing
    void refuse_plan(const std::string& plan);  // turns that plan away as full; empty: nobody
    void cut_answers(bool on);                  // ends its answers in the middle

  private:
    struct Job {
        Server::Token token = 0;
        std::string id, key, op, effect;
        bool head_method = false;
    };
    void handle(Server::Token token, const http::Head& head, const std::string& body);
    void advance();
    void arm();
    void answer(Server::Token token, int status, const std::string& fields, const std::string& body,
                bool to_head);
    std::string report();

    event::Loop& loop_;
    HostSettings s_;
    std::mt19937_64 random_;
    Recorder& records_;
    std::shared_ptr<Group> group_;
    std::function<std::string(const std::string&)> plan_of_;
    std::string address_, refused_plan_;
    std::unique_ptr<Server> server_;
    std::unique_ptr<Tally> tally_;
    std::unordered_map<std::uint64_t, Job> jobs_;
    std::uint64_t next_job_ = 1, life_ = 0;
    std::int64_t started_unix_ms_ = 0;
    bool stalled_ = false, cut_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::int64_t unix_ms_now();

}  // namespace silverreach::fakes

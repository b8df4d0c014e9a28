// A fake host on a loopback socket: serves HTTP with the timing of HostModel and can inject faults.
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

// Hosts that share the memory of idempotency keys.
struct DeduplicationGroup {
    Micros window{0};                                     // how long a key is remembered
    std::unordered_map<std::string, Micros> executed_at;  // by idempotency key
};

struct HostSettings {
    HostModelSettings model;
    Micros mean_work{20'000};  // of a request of one unit
    std::string key_header = "X-Api-Key", units_header = "X-Units";
    std::string ip = "127.0.0.1";
    int port = 0;  // 0: any free port
    std::string zone, kind;
    int cell = 0;
};

class Host {
  public:
    // `plan_of_key` returns the plan of an API key, for reject_plan(). The loop and the recorder
    // must outlive the host.
    Host(event::Loop& loop, HostSettings settings, std::uint64_t seed, Recorder& records,
         std::shared_ptr<DeduplicationGroup> group,
         std::function<std::string(const std::string&)> plan_of_key);
    ~Host();

    const std::string& address() const { return address_; }
    const HostSettings& settings() const { return settings_; }
    bool running() const { return server_ != nullptr; }
    std::int64_t started_unix_ms() const { return started_unix_ms_; }  // 0: not started cold

    void kill();                // resets all connections, as the end of a process does
    void start(bool is_cold);   // on the same address; a cold host begins a slow start
    void set_stalled(bool on);  // a stalled host reads and records requests, but does not respond
    void reject_plan(const std::string& plan);  // responds 503 to that plan's requests; empty: none
    void truncate_responses(bool on);           // closes the connection within the response body

  private:
    struct Job {
        Server::Token token = 0;
        std::string id, idempotency_key, operation, effect;
        bool is_head_request = false;
    };
    void handle_request(Server::Token token, const http::Head& head, const std::string& body);
    void complete_jobs();
    void schedule_completion();
    void respond(Server::Token token, int status, const std::string& fields,
                 const std::string& body, bool to_head_request);
    std::string load_report_field();

    event::Loop& loop_;
    HostSettings settings_;
    std::mt19937_64 random_;
    Recorder& records_;
    std::shared_ptr<DeduplicationGroup> group_;
    std::function<std::string(const std::string&)> plan_of_key_;
    std::string address_, rejected_plan_;
    std::unique_ptr<Server> server_;
    std::unique_ptr<HostModel> model_;
    std::unordered_map<std::uint64_t, Job> jobs_;
    std::uint64_t next_job_ = 1, incarnation_ = 0;
    std::int64_t started_unix_ms_ = 0;
    bool is_stalled_ = false, truncates_responses_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::int64_t unix_ms_now();

}  // namespace silverreach::fakes

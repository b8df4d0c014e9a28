// The types, events and actions of the gateway's decision module. No decision and no tuned value
// lives here.
//
// A host process owns clock, timers, connections and messages. It builds one `Gateway` per
// instance, feeds it what happens in order, and carries out the actions appended to the vector it
// hands in. All times are microseconds of one clock that only moves forward; its start is
// arbitrary.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace silverreach {

using Micros = std::chrono::microseconds;
using RequestId = std::uint64_t;

// ---- settings, given once at start
// ----------------------------------------------------------------------

enum class Idempotency {
    idempotent,
    idempotency_key,
    non_idempotent
};  // what a second run of a request would do
enum class DeduplicationScope {
    all,
    zone,
    cell
};  // the hosts among which a keyed repeat is dropped
enum class LoadReportMode {
    none,
    in_responses,
    on_health_check
};

struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    Micros latency_objective{0};     // an answer within this time earns the full worth
    Micros deadline{0};              // the client's whole patience
    Micros deduplication_window{0};  // keyed: how long hosts remember a request
    double priority_weight = 1;
    double late_weight_factor = 0;  // share of the worth earned after the aim
};

struct Plan {
    std::string name;
    double rate = 0;                  // units a second for each customer; 0: no rate quota
    double burst = 0;                 // most units in the quota's store
    int max_concurrent_attempts = 0;  // attempts out at once; 0: no such quota
    double priority_factor = 1;
    double excess_weight_factor = 0;  // share of the worth earned beyond the quota
    double excess_cost_factor = 0;    // share of the worth that a try beyond the quota costs
    double ceiling_rate = 0;          // the ceiling's refill; 0: no ceiling
    double ceiling_burst = 0;
};

struct Settings {
    int rank = 0;
    int instance_count = 1;
    std::string zone;
    std::vector<RequestClass> classes;
    std::vector<Plan> plans;
    // permissions
    int max_attempts = 1;
    bool may_hedge = false;
    bool may_cancel = false;
    bool may_health_check = false;
    bool may_message_peers = false;
    bool may_send_retry_after = false;
    Micros max_retry_after{0};
    double peer_messages_per_second = 0;  // what one gateway takes in
    bool units_corrected_by_response = false;
    LoadReportMode load_report_mode = LoadReportMode::none;
    // figures of the rules
    Micros timer_tick{0};
    Micros slow_start_window{0};
    Micros overload_window{0};
    double overload_factor = 1;
    double initial_capacity_share = 1;
    // prices
    double cross_zone_cost = 0;
};

// Throws std::invalid_argument with a plain message where the settings cannot work.
void validate(const Settings& settings);

// ---- events
// ---------------------------------------------------------------------------------------------

enum class EndpointStatus {
    available,
    draining,
    removed
};

struct EndpointEntry {
    std::string id;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    EndpointStatus status = EndpointStatus::available;
    double weight = 1;
    Micros started_at{0};  // clock time of the latest start; 0: long past
};

struct LoadReport {
    double queued_requests = -1;     // requests waiting; below 0: not told
    double in_flight_requests = -1;  // requests held; below 0: not told
    double utilization = -1;         // busy share of the cores; below 0: not told
};

enum class Outcome {
    success,
    error,
    rejected,
    timeout,
    connect_failed,
    reset,
    cancelled,
    not_started
};

struct EndpointsChanged {
    bool complete = false;  // false: only the entries that changed
    std::vector<EndpointEntry> endpoints;
};
struct RequestArrived {
    RequestId id = 0;
    std::string customer;
    int plan = 0;           // index into Settings::plans; below 0: unknown, no quota
    int request_class = 0;  // index into Settings::classes
    double units = 1;
    Micros time_remaining{0};
    int subset_size = 1;   // gateways through which this customer arrives
    int subset_start = 0;  // rank of the first of them; the others follow, counted round
};
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;
    std::string endpoint;
    Outcome outcome = Outcome::success;
    Micros duration{0};
    bool request_completed = false;  // the request has its final answer
    double actual_units = 0;         // 0: not told
    LoadReport load_report = {};
};
struct HealthCheckEnded {
    std::string endpoint;
    Outcome outcome = Outcome::success;
    Micros duration{0};
    LoadReport load_report = {};
};
struct ClientDisconnected {
    RequestId id = 0;
};
struct PeerMessageReceived {
    int from = 0;
    std::string bytes;
};
struct TimerFired {
    std::uint64_t token = 0;
};

using Event = std::variant<EndpointsChanged, RequestArrived, AttemptEnded, HealthCheckEnded,
                           ClientDisconnected, PeerMessageReceived, TimerFired>;

// ---- actions
// --------------------------------------------------------------------------------------------

struct SendAttempt {
    RequestId id;
    std::string endpoint;
    Micros timeout;  // 0: until the client quits
};
enum class RejectReason {
    quota_exhausted,    // the customer's own quota is spent
    ceiling_reached,    // its hard ceiling is
    concurrency_limit,  // it has as many attempts out as its plan allows
    overloaded,         // the back end looks pressed and its slice comes too late
    no_endpoint,        // no host could take it in time; nothing was sent
    no_response,  // it was sent, no good answer came in time; a repeat is harmless all the same
    deadline_exceeded  // it came with no time left
};
struct RejectRequest {  // final: trying again is harmless
    RequestId id;
    Micros retry_after;  // 0: no advice
    RejectReason reason = RejectReason::quota_exhausted;
};
struct FailRequest {  // final: promises nothing
    RequestId id;
};
struct CancelAttempt {
    RequestId id;
    int attempt;
};
struct StartHealthCheck {
    std::string endpoint;
};
struct SetTimer {
    Micros delay;
    std::uint64_t token;
};
struct SendPeerMessage {
    int to;  // rank of a peer; below 0: every peer
    std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt,
                            StartHealthCheck, SetTimer, SendPeerMessage>;

// ---- the module
// -----------------------------------------------------------------------------------------

class DecisionEngine {
  public:
    // Throws std::invalid_argument with a plain message where the settings cannot work.
    DecisionEngine(Settings settings, std::uint64_t seed, Micros now);
    ~DecisionEngine();
    DecisionEngine(DecisionEngine&&) noexcept;
    DecisionEngine& operator=(DecisionEngine&&) noexcept;

    // Decides on one event at clock time `now`; appends what is to be done, in order.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace silverreach

// The public interface of the decision engine: settings, events, actions and the engine itself.
//
// The host program owns the clock, timers, connections and messages. It creates one DecisionEngine
// per gateway instance, passes events to it in the order in which they happen, and carries out the
// actions that each event yields, in their order. The engine does no I/O and keeps no pointer or
// reference to anything passed to it.
//
// Times are microseconds of one monotonic clock with an arbitrary start. Rates are per second.
// Shares and factors are ratios, where 1 means 100 %. A plan's quota is counted in units; most
// requests cost one unit.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace silverreach {

using Micros = std::chrono::microseconds;
// Assigned by the host program; unique among the requests of one engine, below 2^60.
using RequestId = std::uint64_t;

// ---- settings, fixed for the lifetime of an engine ----

// The effect of executing the same request a second time.
enum class Idempotency {
    idempotent,       // no further effect: the request may be retried and hedged
    idempotency_key,  // dropped by endpoints within the deduplication scope and window
    non_idempotent    // the same effect again: retried only if no earlier attempt can have run
};

// The endpoints among which a repeated idempotency key is recognized.
enum class DeduplicationScope {
    all,
    zone,  // endpoints with the same EndpointEntry::zone
    cell   // endpoints with the same EndpointEntry::cell
};

// Where endpoints report their load.
enum class LoadReportMode {
    none,
    in_responses,
    on_health_check
};

// Requests with the same deadline, priority and idempotency.
struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    Micros latency_objective{0};     // responses within this time have the full weight; above 0
    Micros deadline{0};              // time until the client gives up; above 0
    Micros deduplication_window{0};  // how long endpoints remember an idempotency key
    // The next two are for the host program; no decision uses them.
    double priority_weight = 1;     // value of one response, relative to other classes
    double late_weight_factor = 0;  // share of the weight left after the latency objective
};

// The quota of each customer of this plan. Quotas hold over all instances together.
struct Plan {
    std::string name;
    double rate = 0;                  // units per second; 0: no rate quota
    double burst = 0;                 // capacity of the token bucket, in units
    int max_concurrent_attempts = 0;  // attempts in flight in the fleet; 0: no limit
    double priority_factor = 1;       // multiplies priority_weight; not used for decisions
    double excess_weight_factor = 0;  // share of the weight that a request beyond the quota has
    double excess_cost_factor = 0;    // share of the weight that an attempt beyond the quota costs
    double ceiling_rate = 0;          // units per second, never exceeded; 0: no ceiling
    double ceiling_burst = 0;         // capacity of the ceiling's token bucket, in units
};

struct Settings {
    // Position of this instance in the fleet.
    int rank = 0;            // from 0 to instance_count - 1
    int instance_count = 1;  // gateway instances
    std::string zone;        // empty: unknown
    std::vector<RequestClass> classes;
    std::vector<Plan> plans;
    // What the engine may do.
    int max_attempts = 1;    // per request, hedged ones included; at least 1
    bool may_hedge = false;  // two attempts of one request may be in flight
    bool may_cancel = false;
    bool may_health_check = false;
    bool may_message_peers = false;
    bool may_send_retry_after = false;
    Micros max_retry_after{0};  // longest Retry-After; 0: no limit
    // Number of customers whose state is kept, each at some 1 KiB; at least 1. Customers beyond it
    // share one quota per plan until there is room.
    std::size_t max_customers = 100'000;
    double peer_messages_per_second = 0;       // accepted by one instance from all peers together
    bool units_corrected_by_response = false;  // AttemptEnded::actual_units replaces the estimate
    LoadReportMode load_report_mode = LoadReportMode::none;
    // Timers, and the behaviour and cost of endpoints.
    Micros timer_tick{0};         // resolution of the host program's timers
    Micros slow_start_window{0};  // warm-up time of an endpoint after its start; 0: none
    // An endpoint in slow start fails when it gets `overload_factor` times the load that its
    // capacity allows within `overload_window`. No decision uses the window.
    Micros overload_window{0};
    double overload_factor = 1;
    double initial_capacity_share = 1;  // share of the full capacity at the start
    double cross_zone_cost = 0;         // of an attempt in another zone; 0: none
};

// Throws std::invalid_argument, with a message that names the setting, if no engine can be created
// with the settings. Thread-safe.
void validate(const Settings& settings);

// ---- events, from the host program to the engine ----

enum class EndpointStatus {
    available,
    draining,  // gets no new attempts; attempts in flight complete
    removed
};

struct EndpointEntry {
    std::string id;    // unique; names the endpoint in all other events and actions
    std::string zone;  // empty: unknown
    std::string kind;  // hardware model; not used for decisions
    std::int64_t cell = 0;
    EndpointStatus status = EndpointStatus::available;
    double weight = 1;     // capacity, relative to other endpoints
    Micros started_at{0};  // clock time of the last start; 0: long ago
};

// Load that an endpoint reports. Negative values: not reported.
struct LoadReport {
    double queued_requests = -1;
    double in_flight_requests = -1;  // executing and queued
    double utilization = -1;         // share of the CPU cores that is busy, 0 to 1
};

// How an attempt or a health check ended.
enum class Outcome {
    success,
    error,           // a response that reports a failure of the request
    rejected,        // the endpoint sheds load; the request did not run
    timeout,         // no response within the timeout
    connect_failed,  // no connection; the request did not run
    reset,           // the connection was lost before the response; the request may have run
    cancelled,       // by CancelAttempt; the request may have run
    not_started      // ended before its bytes were sent; the request did not run
};

struct EndpointsChanged {
    bool complete = false;  // true: the complete list; endpoints missing from it are removed
    std::vector<EndpointEntry> endpoints;
};
// A client's request arrived. The engine ends it with exactly one RejectRequest or FailRequest,
// unless a successful attempt or the client ends it first. The engine ignores an arrival with an
// unknown class or plan, or with an id that is in use.
struct RequestArrived {
    RequestId id = 0;
    std::string customer;
    int plan = 0;              // index into Settings::plans; negative: unknown, no quota
    int request_class = 0;     // index into Settings::classes
    double units = 1;          // estimate, charged to the customer's quota
    Micros time_remaining{0};  // until the client gives up
    int subset_size = 1;       // instances through which this customer's requests arrive
    int subset_start = 0;      // rank of the first one; the others follow, modulo instance_count
};
// An attempt ended. Passed exactly once for each SendAttempt.
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;  // from 0, in the order in which the request's attempts were sent
    std::string endpoint;
    Outcome outcome = Outcome::success;
    Micros duration{0};
    bool request_completed = false;  // the request has its final response
    double actual_units = 0;         // as the endpoint counted them; 0: not reported
    LoadReport load_report = {};
};
// A health check ended. Passed exactly once for each StartHealthCheck.
struct HealthCheckEnded {
    std::string endpoint;
    Outcome outcome = Outcome::success;
    Micros duration{0};
    LoadReport load_report = {};
};
// The client no longer waits for a response. The engine sends no further attempt of the request.
struct ClientDisconnected {
    RequestId id = 0;
};
// A peer's message. Messages may be lost, duplicated, delayed and reordered; the engine ignores
// malformed ones.
struct PeerMessageReceived {
    int from = 0;  // rank of the sender
    std::string bytes;
};
struct TimerFired {
    std::uint64_t token = 0;  // SetTimer::token
};

using Event = std::variant<EndpointsChanged, RequestArrived, AttemptEnded, HealthCheckEnded,
                           ClientDisconnected, PeerMessageReceived, TimerFired>;

// ---- actions, from the engine to the host program ----

// Sends the request to an endpoint; followed by one AttemptEnded. A successful response is the
// request's final response.
struct SendAttempt {
    RequestId id;
    std::string endpoint;
    Micros timeout;  // 0: until the client's deadline
};

enum class RejectReason {
    quota_exhausted,    // the customer's rate quota
    ceiling_reached,    // the customer's ceiling
    concurrency_limit,  // Plan::max_concurrent_attempts
    overloaded,         // the back end is overloaded, and pacing would delay the request too long
    no_endpoint,        // no endpoint had capacity in time; nothing was sent
    no_response,        // sent, but no successful response in time; safe to retry
    deadline_exceeded   // the request arrived with no time remaining
};

// Final response: the request is rejected. It had no effect, or a retry does not repeat the effect.
struct RejectRequest {
    RequestId id;
    Micros retry_after;  // 0: none
    RejectReason reason = RejectReason::quota_exhausted;
};
// Final response: the request failed and may have run.
struct FailRequest {
    RequestId id;
};
// Cancels an attempt; followed by AttemptEnded with Outcome::cancelled, unless the attempt has
// ended with another outcome.
struct CancelAttempt {
    RequestId id;
    int attempt;
};
// Followed by one HealthCheckEnded.
struct StartHealthCheck {
    std::string endpoint;
};
// Starts a timer; followed by one TimerFired with the same token, not before the delay is over.
struct SetTimer {
    Micros delay;
    std::uint64_t token;  // below 2^63
};
// Sends one datagram, without acknowledgement or response.
struct SendPeerMessage {
    int to;  // rank of the peer; negative: every peer
    std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt,
                            StartHealthCheck, SetTimer, SendPeerMessage>;

// Decides on admission, endpoints, retries and rejection for the requests of one gateway instance.
// Not thread-safe: calls must come from one thread or be serialized. The same settings, seed and
// events yield the same actions.
class DecisionEngine {
  public:
    // `seed` initializes the random number generator. `now` is the clock time at which the instance
    // started.
    // Throws std::invalid_argument as validate() does.
    DecisionEngine(Settings settings, std::uint64_t seed, Micros now);
    ~DecisionEngine();
    DecisionEngine(DecisionEngine&&) noexcept;
    DecisionEngine& operator=(DecisionEngine&&) noexcept;

    // Handles one event at clock time `now`, which must not decrease. Appends the actions to carry
    // out to `actions`, in order; the caller owns the list. Ignores events that refer to an unknown
    // request, endpoint, peer or timer.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace silverreach

// Checks the gateways' guarantees in the soak test: the test environment reports what it sends and
// receives, and the checker collects the violations. It does no I/O and reads no clock; the caller
// passes the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace soak {
using Micros = std::chrono::microseconds;

enum class Effect {
    safe,
    keyed,
    unsafe
};
enum class ViolationKind {
    lost,                // accepted, but never answered
    late,                // answered after its deadline
    unexpected_answer,   // more than one answer, or an answer without a request
    wrong_value,         // a value that no host sent for the request
    duplicate_effect,    // an effect that may have happened twice
    concurrent_attempt,  // a second attempt while one is pending
    client_gone,         // an attempt for a client that has disconnected
    excessive_deadline,  // a host received a deadline longer than the client's remaining time
    drained,             // an attempt at a draining host after the grace period
    ceiling,             // a customer's hard ceiling was exceeded
    cold_host,           // a started host received more than its budget
    malformed,           // a command that no client sent
    crash,               // a process ended unexpectedly or with an error
    not_ready            // a process did not accept connections in time
};
std::string name_of(ViolationKind kind);  // as printed by silverreach_soak

struct GuaranteeLimits {
    Micros late_answer_tolerance{500'000};    // a later answer counts as late or lost
    Micros protocol_tolerance{50'000};        // the protocol's tolerance for time limits
    Micros deadline_tolerance{150'000};       // of the deadline passed to a host
    Micros closed_client_tolerance{100'000};  // of attempts after the client's close
    Micros drain_grace{250'000};
    Micros repeat_window{1'200'000};  // of the keyed class
    double ceiling_rate = 20, ceiling_burst = 20,
           ceiling_tolerance = 2;  // units, of the capped customer
    // The requests that a started host may get in each `cold_window` depend on its age.
    double warm_rate = 200, start_capacity = 0.2, overload_factor = 3;
    Micros cold_duration{6'000'000}, cold_window{2'000'000};
};

struct Violation {
    ViolationKind kind;
    Micros time{0};
    std::string description;
};

class GuaranteeChecker {
  public:
    explicit GuaranteeChecker(GuaranteeLimits limits) : limits_(limits) {}

    // Sets the possible delay of the observer itself, which is added to each limit from now on.
    void set_observer_lag(Micros lag) { observer_lag_ = lag; }

    void on_request_sent(Micros time, std::uint64_t id, Effect effect, Micros deadline,
                         bool is_capped);
    // `previous_answer_at` is the time of the previous answer on the connection; the wait for that
    // answer does not count.
    void on_answer(Micros time, std::uint64_t id, bool is_value, const std::string& value,
                   Micros previous_answer_at);
    void on_client_closed(Micros time, std::uint64_t id);  // the client closed the connection
    // The request may stay unanswered: its gateway was killed or never read it.
    void excuse(std::uint64_t id);
    // The gateway closed the connection while this request was open.
    void on_connection_dropped(Micros time, std::uint64_t id, const std::string& gateway);
    void on_attempt(Micros time, std::uint64_t id, const std::string& host, int cell,
                    std::int64_t deadline_ms);
    void on_attempt_ended(std::uint64_t id, const std::string& host, bool may_have_run);
    void on_drain_announced(Micros time, const std::string& gateway, const std::string& host);
    void on_ready_announced(const std::string& gateway, const std::string& host);
    void on_gateway_attempt(Micros time, const std::string& gateway, const std::string& host);
    void on_host_started(Micros time, const std::string& host);
    // The host no longer serves, so the budget of its start no longer applies.
    void on_host_stopped(const std::string& host);
    void add_violation(Micros time, ViolationKind kind, std::string description);
    void finish(Micros time);  // adds violations for unanswered requests

    bool has_attempts(std::uint64_t id) const;              // a host has received the request
    void on_gateway_restarted(const std::string& gateway);  // clears what was announced to it

    const std::vector<Violation>& violations() const { return violations_; }
    std::size_t request_count() const { return requests_.size(); }
    std::size_t attempt_count() const { return attempt_count_; }
    std::size_t served_count() const { return served_count_; }
    std::size_t refused_or_failed_count() const { return refused_or_failed_count_; }

  private:
    struct Attempt {
        std::string host;
        int cell = 0;
        Micros started_at{0};
        bool is_pending = true, may_have_run = true;
    };
    struct Request {
        Effect effect = Effect::safe;
        Micros sent_at{0}, deadline_at{0};
        std::optional<Micros> closed_at;
        bool is_answered = false, is_excused = false, is_capped = false;
        std::vector<Attempt> attempts;
    };
    struct ColdHost {
        Micros started_at{0};
        std::vector<Micros> attempts;
    };
    void check_repeat(Micros time, std::uint64_t id, const Request& request, int cell);
    void check_ceiling(Micros time, std::uint64_t id);
    void check_cold_host(Micros time, const std::string& host);

    GuaranteeLimits limits_;
    Micros observer_lag_{0};
    std::unordered_map<std::uint64_t, Request> requests_;
    std::map<std::pair<std::string, std::string>, Micros>
        drain_announced_at_;  // by gateway and host
    std::map<std::string, ColdHost> cold_hosts_;
    double ceiling_balance_ = 0;
    std::optional<Micros> ceiling_updated_at_;
    std::vector<Violation> violations_;
    std::size_t attempt_count_ = 0, served_count_ = 0, refused_or_failed_count_ = 0;
};

}  // namespace soak

// The soak test's validator: it is told what passed on the sockets and says which promises were
// broken. No I/O and no clock: every call names the time.
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
enum class Breach {
    lost,         // taken, and never answered
    late,         // answered after its time
    second_word,  // more than one answer, or an answer to nothing
    foreign,      // a value that no host made for it
    twice,        // an effect that may have happened twice
    two_out,      // a second attempt while one is out
    client_gone,  // an attempt for a client that has left
    deadline,     // a host was told more time than the client had left
    drained,      // an attempt at a host after the grace
    ceiling,      // a customer's hard ceiling was passed
    cold_host,    // a started host got more than its budget
    malformed,    // a command that no client sent
    crash,        // a process ended by itself, or with an error
    not_ready     // a process did not come up
};
std::string text_of(Breach breach);

struct Figures {
    Micros late_slack{500'000};      // an answer later than that counts as lost
    Micros answer_slack{50'000};     // the protocol's, of every time limit
    Micros deadline_slack{150'000};  // of the time told to a host
    Micros gone_slack{100'000};      // of attempts after the client's close
    Micros drain_grace{250'000};
    Micros repeat_window{1'200'000};                         // of the keyed class
    double hard_rate = 20, hard_burst = 20, hard_slack = 2;  // units, of the capped customer
    // A started host: requests of its budget in `cold_span`, by its age.
    double warm_rate = 200, start_capacity = 0.2, fall_multiple = 3;
    Micros cold_time{6'000'000}, cold_span{2'000'000};
};

struct Violation {
    Breach breach;
    Micros at{0};
    std::string what;
};

class Ledger {
  public:
    explicit Ledger(Figures figures) : figures_(figures) {}

    // How late the observer itself may be: added to every limit from now on.
    void observer_lag(Micros lag) { lag_ = lag; }

    void sent(Micros at, std::uint64_t id, Effect effect, Micros deadline, bool capped);
    // `turn`: when the answer before it on its connection came; waiting for that one does not
    // count.
    void answered(Micros at, std::uint64_t id, bool whole_value, const std::string& value,
                  Micros turn);
    void client_closed(Micros at, std::uint64_t id);  // by the client itself
    void excused(
        std::uint64_t id);  // it may go unanswered: its gateway was killed, or never read it
    // The gateway ended the connection with this request open.
    void dropped(Micros at, std::uint64_t id, const std::string& gateway);
    void attempt(Micros at, std::uint64_t id, const std::string& host, int cell,
                 std::int64_t told_ms);
    void attempt_over(std::uint64_t id, const std::string& host, bool ran);
    void told_drained(Micros at, const std::string& gateway, const std::string& host);
    void told_ready(const std::string& gateway, const std::string& host);
    void attempt_by(Micros at, const std::string& gateway, const std::string& host);
    void host_started(Micros at, const std::string& host);
    void host_forgotten(
        const std::string& host);  // nobody listens there: its start does not bind any more
    void violation(Micros at, Breach breach, std::string what);
    void finish(Micros at);  // what is unanswered by now is lost

    bool attempted(std::uint64_t id) const;              // a host has had it
    void gateway_restarted(const std::string& gateway);  // it is to be told anew

    const std::vector<Violation>& violations() const { return violations_; }
    std::size_t requests() const { return requests_.size(); }
    std::size_t attempts() const { return attempts_; }
    std::size_t served() const { return served_; }
    std::size_t refused_or_failed() const { return refused_or_failed_; }

  private:
    struct Attempt {
        std::string host;
        int cell = 0;
        Micros at{0};
        bool out = true, ran = true;
    };
    struct Request {
        Effect effect = Effect::safe;
        Micros sent{0}, until{0};
        std::optional<Micros> closed;
        bool answered = false, excused = false, capped = false;
        std::vector<Attempt> attempts;
    };
    struct Start {
        Micros at{0};
        std::vector<Micros> attempts;
    };
    void judge_repeat(Micros at, std::uint64_t id, const Request& request, int cell);
    void judge_ceiling(Micros at, std::uint64_t id);
    void judge_start(Micros at, const std::string& host);

    Figures figures_;
    Micros lag_{0};
    std::unordered_map<std::uint64_t, Request> requests_;
    std::map<std::pair<std::string, std::string>, Micros> drained_;  // gateway and host
    std::map<std::string, Start> starts_;
    double capped_level_ = 0;
    std::optional<Micros> capped_at_;
    std::vector<Violation> violations_;
    std::size_t attempts_ = 0, served_ = 0, refused_or_failed_ = 0;
};

}  // namespace soak

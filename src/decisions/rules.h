// The rules of one request in one place: whether an attempt may be chosen now, whether its bytes may go out
// now, and whether a client's connection may be closed now. The decision module chooses; every attempt is
// checked here when it is chosen and again when it is handed over, since time passes and things happen in
// between. No I/O, no clock: every call names the time.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::rules {

// Why something may not happen now.
enum class Reason {
    answered,         // the request has its final answer
    client_gone,      // nobody waits for it
    time_over,        // its client's time is over
    host_not_ready,   // the host drains, is gone, or was never listed
    attempts_spent,   // as many attempts as the settings allow were made
    second_out,       // another attempt is out, and the settings allow no second copy
    may_have_run,     // an unsafe request whose earlier attempt may have run
    window_over,      // hosts may have forgotten the earlier attempt
    outside_group,    // the host does not drop repeats of the earlier attempt
    requests_in_hand  // a connection that owes answers
};
constexpr std::size_t reason_count = 10;
std::string_view text_of(Reason reason);

// Counts by reason.
class ReasonCounts {
  public:
    void add(Reason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
    std::uint64_t of(Reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
    std::uint64_t sum() const;

  private:
    std::array<std::uint64_t, reason_count> counts_{};
};

struct AttemptFacts {
    std::string host;
    std::string zone;  // of the host, when the attempt was chosen
    std::int64_t cell = 0;
    Micros sent{0};            // when it was chosen
    Micros handed_over_at{0};  // when its bytes went out; 0: not yet
    bool ended = false;
    bool never_ran = false;  // its end proves it

    bool out() const { return !ended; }
    // By what is known now; one that is still to be handed over has not run.
    bool may_have_run() const { return ended ? !never_ran : handed_over_at > Micros(0); }
};
struct RequestFacts {
    int request_class = 0;
    bool answered = false;
    bool client_gone = false;
    Micros deadline{0};
    std::vector<AttemptFacts> attempts;
};
// A client's connection, as its owner sees it.
struct ClientFacts {
    std::size_t requests_in_hand = 0;
    bool client_gone = false;  // by its own end or a break
};

using Verdict = std::optional<Reason>;  // nothing: it may

class Rules {
  public:
    explicit Rules(const Settings& settings) : settings_(settings) {}

    void hosts_changed(const HostsChanged& change);
    // What is known of a host that an attempt is chosen for.
    AttemptFacts attempt_at(const std::string& host, Micros now) const;

    Verdict may_begin(Micros now, const RequestFacts& request, const std::string& host) const;
    Verdict may_hand_over(Micros now, const RequestFacts& request, std::size_t attempt) const;
    // Whether the gateway may close a client's connection of its own accord.
    static Verdict may_close(const ClientFacts& client);

  private:
    struct Host {
        HostState state = HostState::up;
        std::string zone;
        std::int64_t cell = 0;
    };
    Verdict request_open(Micros now, const RequestFacts& request) const;
    Verdict host_ready(const std::string& host) const;
    Verdict beside(Micros now, const RequestFacts& request, const AttemptFacts& earlier,
                   const AttemptFacts& next) const;

    const Settings settings_;
    std::unordered_map<std::string, Host> hosts_;
};

}  // namespace silverreach::rules

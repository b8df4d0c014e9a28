// The rules of one request in one place: whether an attempt may be chosen now, whether its bytes
// may go out now, and whether a client's connection may be closed now. The decision module chooses;
// every attempt is checked here when it is chosen and again when it is handed over, since time
// passes and things happen in between. No I/O, no clock: every call names the time.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decisions/retry/block_reason.h"
#include "silverreach/interface.h"

namespace silverreach::rules {

// Counts by reason.
class BlockCounters {
  public:
    void add(BlockReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
    std::uint64_t of(BlockReason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
    std::uint64_t sum() const;

  private:
    std::array<std::uint64_t, block_reason_count> counts_{};
};

struct AttemptRecord {
    std::string endpoint;
    std::string zone;  // of the host, when the attempt was chosen
    std::int64_t cell = 0;
    Micros chosen_at{0};  // when it was chosen
    Micros sent_at{0};    // when its bytes went out; 0: not yet
    bool ended = false;
    bool never_ran = false;  // its end proves it

    bool in_flight() const { return !ended; }
    // By what is known now; one that is still to be handed over has not run.
    bool may_have_run() const { return ended ? !never_ran : sent_at > Micros(0); }
};
struct RequestRecord {
    int request_class = 0;
    bool answered = false;
    bool client_disconnected = false;
    Micros deadline{0};
    std::vector<AttemptRecord> attempts;
};
// A client's connection, as its owner sees it.
struct ConnectionRecord {
    std::size_t pending_requests = 0;
    bool client_disconnected = false;  // by its own end or a break
};

using Verdict = std::optional<BlockReason>;  // nothing: it may

class AttemptRules {
  public:
    explicit AttemptRules(Settings settings) : settings_(std::move(settings)) {}

    void on_endpoints_changed(const EndpointsChanged& change);
    // What is known of a host that an attempt is chosen for.
    AttemptRecord make_attempt(const std::string& host, Micros now) const;

    Verdict check_start(Micros now, const RequestRecord& request, const std::string& host) const;
    Verdict check_send(Micros now, const RequestRecord& request, std::size_t attempt) const;
    // Whether the gateway may close a client's connection of its own accord.
    static Verdict check_close(const ConnectionRecord& client);

  private:
    struct Host {
        EndpointStatus state = EndpointStatus::available;
        std::string zone;
        std::int64_t cell = 0;
    };
    Verdict request_open(Micros now, const RequestRecord& request) const;
    Verdict host_ready(const std::string& host) const;
    Verdict beside(Micros now, const RequestRecord& request, const AttemptRecord& earlier,
                   const AttemptRecord& next) const;

    const Settings settings_;
    std::unordered_map<std::string, Host> hosts_;
};

}  // namespace silverreach::rules

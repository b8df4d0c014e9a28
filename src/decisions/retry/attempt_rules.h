// The rules on the attempts of one request: whether an attempt may start now, whether its bytes may
// be sent now, and whether a client's connection may be closed now.
//
// An attempt that the engine has chosen is checked when it starts, and again before its bytes are
// sent, since establishing the connection may have taken long. The rules do no I/O and read no
// clock: the caller passes the time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decisions/retry/block_reason.h"
#include "silverreach/interface.h"

namespace silverreach::rules {

// Blocked attempts, counted by reason.
class BlockCounters {
  public:
    void add(BlockReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
    std::uint64_t count(BlockReason reason) const {
        return counts_[static_cast<std::size_t>(reason)];
    }
    std::uint64_t total() const;

  private:
    std::array<std::uint64_t, block_reason_count> counts_{};
};

// States: started, sent (`sent_at` is set), ended.
struct AttemptRecord {
    std::string endpoint;
    std::string zone;  // of the endpoint when the attempt started
    std::int64_t cell = 0;
    Micros chosen_at{0};  // clock time at which the attempt started
    Micros sent_at{0};    // clock time at which its bytes were sent; 0: not yet
    bool ended = false;
    bool never_ran = false;  // its outcome proves that the endpoint did not execute the request

    bool in_flight() const { return !ended; }
    bool may_have_run() const { return ended ? !never_ran : sent_at > Micros{0}; }
};

struct RequestRecord {
    int request_class = 0;  // index into Settings::classes
    bool answered = false;
    bool client_disconnected = false;
    Micros deadline{0};  // clock time
    std::vector<AttemptRecord> attempts;
};

// State of a client's connection.
struct ConnectionRecord {
    std::size_t pending_requests = 0;
    bool client_disconnected = false;  // closed by the client, or failed
};

using CheckResult = std::optional<BlockReason>;  // no value: allowed

class AttemptRules {
  public:
    explicit AttemptRules(Settings settings) : settings_(std::move(settings)) {}

    void on_endpoints_changed(const EndpointsChanged& change);
    // Returns the record of an attempt that starts at the endpoint now.
    AttemptRecord make_attempt(const std::string& endpoint, Micros now) const;

    // Checks whether a further attempt of the request may start at the endpoint.
    CheckResult check_start(Micros now, const RequestRecord& request,
                            const std::string& endpoint) const;
    // Checks whether the bytes of an attempt may be sent. `attempt`: index into the request's
    // attempts; throws std::out_of_range if there is no such attempt.
    CheckResult check_send(Micros now, const RequestRecord& request, std::size_t attempt) const;
    // Checks whether this instance may close a client's connection.
    static CheckResult check_close(const ConnectionRecord& connection);

  private:
    struct KnownEndpoint {
        EndpointStatus status = EndpointStatus::available;
        std::string zone;
        std::int64_t cell = 0;
    };
    static CheckResult check_request_open(Micros now, const RequestRecord& request);
    CheckResult check_endpoint(const std::string& endpoint) const;
    CheckResult check_earlier_attempt(Micros now, const RequestRecord& request,
                                      const AttemptRecord& earlier,
                                      const AttemptRecord& next) const;

    const Settings settings_;
    std::unordered_map<std::string, KnownEndpoint> endpoints_;  // by id; without removed endpoints
};

}  // namespace silverreach::rules

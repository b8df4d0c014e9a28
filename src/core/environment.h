// The operations that the core needs from the host program: timers, attempts, health checks,
// messages to peers and responses to clients.
#pragma once

#include <cstdint>
#include <string>

#include "core/attempt_key.h"
#include "core/client_request.h"
#include "decisions/retry/attempt_rules.h"
#include "silverreach/interface.h"

namespace silverreach::core {

struct Timer {
    std::uint64_t token = 0;
};

// Implemented by the host program. The RequestCoordinator calls each method on the thread that
// called the coordinator. Any method may call the coordinator, which queues events that arrive
// while it handles another one. Methods do not report errors: an attempt or health check that
// cannot be started ends as a failed one.
class Environment {
  public:
    virtual ~Environment() = default;
    // Passes `timer` to RequestCoordinator::on_timer once, after `delay`.
    virtual void start_timer(Micros delay, Timer timer) = 0;
    // Sends the request to the endpoint. The attempt ends with exactly one call of
    // on_response_started or on_attempt_ended, unless it is cancelled or withdrawn. The coordinator
    // cancels it after `timeout`.
    virtual void send_attempt(const AttemptKey& key, const std::string& endpoint,
                              Micros timeout) = 0;
    // Stops the attempt; the environment reports nothing more about it.
    virtual void cancel_attempt(const AttemptKey& key) = 0;
    // Stops the attempt if its last byte has not been sent. Returns true if the attempt never runs;
    // the environment then reports nothing more about it. Returns false if the attempt continues.
    virtual bool withdraw_attempt(const AttemptKey& key) = 0;
    // The health check ends with exactly one call of RequestCoordinator::on_health_check_ended.
    virtual void start_health_check(const std::string& endpoint) = 0;
    // `rank`: of the receiving instance; negative: every peer.
    virtual void send_peer_message(int rank, const std::string& bytes) = 0;
    // Sends the client the request's final response.
    virtual void finish_request(RequestId id, const FinalResponse& response) = 0;
    // Ends a response that is being streamed to the client and is not complete at the deadline.
    virtual void abort_response(RequestId id) = 0;
    // Called for logging when the rules block an attempt, either when the engine chooses it or
    // before its bytes are sent.
    virtual void on_attempt_blocked(const AttemptKey& /*key*/, const std::string& /*endpoint*/,
                                    rules::BlockReason /*reason*/) {}
};

}  // namespace silverreach::core

// What the core asks of the program around it: timers, attempts, health checks, messages to peers
// and responses to clients.
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

// Implemented by the program; called by the RequestCoordinator on the thread that called it. Any
// method may call the coordinator again: it queues the event. No method reports errors: an attempt
// or health check that cannot be made ends as one that failed.
class Environment {
  public:
    virtual ~Environment() = default;
    // Passes `timer` to RequestCoordinator::on_timer once, after `delay`.
    virtual void start_timer(Micros delay, Timer timer) = 0;
    // Sends the request to the endpoint. The attempt ends, once, in on_response_started or
    // on_attempt_ended, unless it is cancelled or withdrawn; the coordinator cancels it after
    // `timeout`.
    virtual void send_attempt(const AttemptKey& key, const std::string& endpoint,
                              Micros timeout) = 0;
    // Stops the attempt; nothing more is reported of it.
    virtual void cancel_attempt(const AttemptKey& key) = 0;
    // Stops the attempt if its last byte has not been sent. True: it never runs and nothing more is
    // reported of it. False: it goes on.
    virtual bool withdraw_attempt(const AttemptKey& key) = 0;
    // Ends, once, in RequestCoordinator::on_health_check_ended.
    virtual void start_health_check(const std::string& endpoint) = 0;
    // `rank` of the receiver; negative: every peer.
    virtual void send_message(int rank, const std::string& bytes) = 0;
    // Sends the client the request's final response.
    virtual void finish_request(RequestId id, const FinalResponse& response) = 0;
    // Ends the response that is being streamed to the client, which cannot be completed in time.
    virtual void abort_response(RequestId id) = 0;
    // The rules stopped an attempt, when it was chosen or before its bytes were sent. For the log.
    virtual void on_attempt_blocked(const AttemptKey& /*key*/, const std::string& /*endpoint*/,
                                    rules::BlockReason /*reason*/) {}
};

}  // namespace silverreach::core

// The life of every request, independent of protocol.
//
// The coordinator turns what happens into the decision engine's events, carries out the engine's
// actions through the Environment, and checks each attempt against the rules. Its invariant: every
// request gets exactly one final response. It does no I/O and has no clock: each call passes the
// time, which never decreases. The states of a request are in request_table.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/account_subset.h"
#include "core/attempt_key.h"
#include "core/client_request.h"
#include "core/counters.h"
#include "core/environment.h"
#include "core/request_table.h"
#include "decisions/retry/attempt_rules.h"
#include "silverreach/interface.h"

namespace silverreach::core {

// Not thread-safe: all calls come from one thread.
class RequestCoordinator {
  public:
    // `subset_size`: instances per account, see account_subset(). Throws std::invalid_argument
    // where the settings cannot work. `environment` must outlive the coordinator.
    RequestCoordinator(const Settings& settings, int subset_size, std::uint64_t seed, Micros now,
                       Environment& environment);

    // An id for the next request, so that the caller can register it before the first action.
    RequestId next_id() { return next_id_++; }
    void start_request(Micros now, RequestId id, const ClientRequest& client_request);
    // A successful response starts after `duration`. True: forward it to the client; false: discard
    // it, the request has its final response. `actual_units`: what the request cost as the endpoint
    // counted it; 0: not reported.
    bool on_response_started(Micros now, const AttemptKey& key, const std::string& endpoint,
                             Micros duration, const LoadReport& report, double actual_units = 0);
    // Called by the transport just before an attempt's bytes are sent. The time that its endpoint
    // may take; nothing where the rules stop it: the transport then ends it as not_started.
    std::optional<Micros> begin_send(Micros now, const AttemptKey& key);
    // The response that is streamed to the client has ended; `complete`: without a break.
    void on_response_ended(Micros now, RequestId id, bool complete);
    // `outcome` is not success. Ignored where the attempt's end is known.
    void on_attempt_ended(Micros now, const AttemptKey& key, const std::string& endpoint,
                          Outcome outcome, Micros duration, const LoadReport& report);
    void on_client_disconnected(Micros now, RequestId id);
    void on_endpoints_changed(Micros now, EndpointsChanged change);
    void on_health_check_ended(Micros now, HealthCheckEnded ended);
    void on_peer_message(Micros now, PeerMessageReceived message);
    void on_timer(Micros now, Timer timer);

    AccountSubset subset_of(std::string_view account) const;
    const Counters& counters() const { return counters_; }
    // Requests that are not erased yet.
    std::size_t in_flight() const { return requests_.size(); }

  private:
    void handle_event(Micros now, Event event);
    void carry_out(Micros now, const SendAttempt& action);
    void carry_out(Micros now, const RejectRequest& action);
    void carry_out(Micros now, const FailRequest& action);
    void carry_out(Micros now, const CancelAttempt& action);
    void carry_out(Micros now, const StartHealthCheck& action);
    void carry_out(Micros now, const SetTimer& action);
    void carry_out(Micros now, const SendPeerMessage& action);

    void respond(Micros now, RequestId id, const FinalResponse& response);
    void on_request_deadline(Micros now, RequestId id);
    // Cancels an attempt in flight and reports it with `outcome`; nothing where it has ended.
    void stop_attempt(Micros now, const AttemptKey& key, Outcome outcome);
    void withdraw_unsent_attempts(Micros now, RequestId id);

    DecisionEngine engine_;
    rules::AttemptRules rules_;
    Environment& environment_;
    const int instance_count_;
    const int subset_size_;
    RequestId next_id_ = 1;
    RequestTable requests_;
    std::deque<Event> event_queue_;
    bool handling_event_ = false;
    bool transport_checks_sends_ = false;  // it has called begin_send
    Counters counters_;
};

}  // namespace silverreach::core

// Tracks every request from its arrival to its final response, independent of the protocol.
//
// The coordinator turns calls into events of the decision engine, carries out the engine's actions
// through the Environment, and checks each attempt against the rules. Invariant: every request gets
// exactly one final response, unless its client disconnects first. The coordinator does no I/O and
// has no clock: each call passes the time, which never decreases. The states of a request are in
// request_table.h.
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
    // `subset_size`: instances per account, see account_subset(). Throws std::invalid_argument as
    // silverreach::validate() does. `environment` must outlive the coordinator.
    RequestCoordinator(const Settings& settings, int subset_size, std::uint64_t seed, Micros now,
                       Environment& environment);

    // Returns a new request id, so that the caller can register it before the coordinator's first
    // action for the request.
    RequestId next_id() { return next_id_++; }
    void start_request(Micros now, RequestId id, const ClientRequest& client_request);
    // Called when a successful response starts; `duration`: of the attempt until then. Returns true
    // if the response is to be forwarded to the client, and false if it is to be discarded, because
    // the attempt has ended or the request needs no response any more. `actual_units`: cost of the
    // request as the endpoint counted it; 0: not reported.
    bool on_response_started(Micros now, const AttemptKey& key, const std::string& endpoint,
                             Micros duration, const LoadReport& report, double actual_units = 0);
    // Called by the transport just before an attempt's bytes are sent. Returns the time that the
    // endpoint may take, or nullopt if the rules block the attempt; the transport then ends the
    // attempt as not_started.
    // Whether an attempt of the request has been sent that did not provably end unexecuted.
    bool may_have_run(RequestId id);
    std::optional<Micros> begin_send(Micros now, const AttemptKey& key);
    // Called when a response streamed to the client has ended. `is_complete`: the endpoint sent all
    // of it.
    void on_response_ended(Micros now, RequestId id, bool is_complete);
    // `outcome` must not be success. Ignored if the attempt has already ended.
    void on_attempt_ended(Micros now, const AttemptKey& key, const std::string& endpoint,
                          Outcome outcome, Micros duration, const LoadReport& report);
    void on_client_disconnected(Micros now, RequestId id);
    void on_endpoints_changed(Micros now, EndpointsChanged event);
    void on_health_check_ended(Micros now, HealthCheckEnded event);
    void on_peer_message(Micros now, PeerMessageReceived event);
    void on_timer(Micros now, Timer timer);

    AccountSubset subset_of(std::string_view account) const;
    const Counters& counters() const { return counters_; }
    // Number of requests that are not completed or have an attempt in flight.
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
    // Cancels an attempt in flight and reports its end with `outcome` to the engine. Does nothing
    // if the attempt has ended.
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
    bool is_handling_event_ = false;
    // True after the first call of begin_send(). Until then, unchecked attempts are not
    // counted, because the transport may be one that does not call begin_send().
    bool transport_calls_begin_send_ = false;
    Counters counters_;
};

}  // namespace silverreach::core

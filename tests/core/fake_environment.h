// A RequestCoordinator with an environment that records the coordinator's calls, and a simulated
// clock.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/request_coordinator.h"

namespace silverreach::core {

class FakeEnvironment : public Environment {
  public:
    struct SentAttempt {
        AttemptKey key;
        std::string endpoint;
    };
    struct FinishedRequest {
        RequestId id = 0;
        FinalResponse response;
    };

    // Starts a coordinator with the endpoints "a", "b" and "c".
    explicit FakeEnvironment(const Settings& settings);

    RequestId start_request(Micros time_remaining = Micros{1'000'000});
    // Starts a successful response to a sent attempt. Returns whether the response is forwarded to
    // the client.
    bool start_response(const SentAttempt& sent_attempt, Micros duration);
    void fail_attempt(const SentAttempt& sent_attempt, Outcome outcome, Micros duration);
    void end_response(RequestId id) { coordinator.on_response_ended(now, id, true); }
    // Advances the clock; timers that become due in between fire at their due times.
    void advance(Micros duration);

    void start_timer(Micros delay, Timer timer) override;
    void send_attempt(const AttemptKey& key, const std::string& endpoint, Micros timeout) override;
    void cancel_attempt(const AttemptKey& key) override { cancelled.push_back(key); }
    bool withdraw_attempt(const AttemptKey& key) override;
    void start_health_check(const std::string& /*endpoint*/) override {}
    void send_peer_message(int /*rank*/, const std::string& /*bytes*/) override {}
    void finish_request(RequestId id, const FinalResponse& response) override;
    void abort_response(RequestId id) override { aborted.push_back(id); }

    Micros now{1'000'000};
    std::vector<SentAttempt> sent;
    std::vector<AttemptKey> cancelled;
    std::vector<AttemptKey> withdrawn;
    std::vector<FinishedRequest> finished;
    std::vector<RequestId> aborted;
    bool attempts_wait_for_connection = false;  // true: attempts can be withdrawn
    std::function<void(const SentAttempt&)> on_send;

  private:
    std::multimap<Micros, Timer> timers_;  // by due time

  public:
    RequestCoordinator coordinator;  // last member, because it calls the environment
};

}  // namespace silverreach::core

#include "tests/core/fake_environment.h"

namespace silverreach::core {
namespace {
EndpointEntry make_endpoint(const std::string& id) {
    EndpointEntry endpoint;
    endpoint.id = id;
    return endpoint;
}
}  // namespace

FakeEnvironment::FakeEnvironment(const Settings& settings)
    : coordinator(settings, 0, 1, now, *this) {
    coordinator.on_endpoints_changed(
        now, {true, {make_endpoint("a"), make_endpoint("b"), make_endpoint("c")}});
}

RequestId FakeEnvironment::start_request(Micros time_remaining) {
    const RequestId id = coordinator.next_id();
    coordinator.start_request(now, id,
                              {.account = "account", .plan = 0, .time_remaining = time_remaining});
    return id;
}

bool FakeEnvironment::start_response(const SentAttempt& sent_attempt, Micros duration) {
    return coordinator.on_response_started(now, sent_attempt.key, sent_attempt.endpoint, duration,
                                           {});
}

void FakeEnvironment::fail_attempt(const SentAttempt& sent_attempt, Outcome outcome,
                                   Micros duration) {
    coordinator.on_attempt_ended(now, sent_attempt.key, sent_attempt.endpoint, outcome, duration,
                                 {});
}

void FakeEnvironment::advance(Micros duration) {
    const Micros until = now + duration;
    while (!timers_.empty() && timers_.begin()->first <= until) {
        const auto [due, timer] = *timers_.begin();
        timers_.erase(timers_.begin());
        now = due;
        coordinator.on_timer(now, timer);
    }
    now = until;
}

void FakeEnvironment::start_timer(Micros delay, Timer timer) {
    timers_.emplace(now + delay, timer);
}

void FakeEnvironment::send_attempt(const AttemptKey& key, const std::string& endpoint,
                                   Micros /*timeout*/) {
    sent.push_back({key, endpoint});
    if (on_send) on_send(SentAttempt{key, endpoint});
}

bool FakeEnvironment::withdraw_attempt(const AttemptKey& key) {
    if (attempts_wait_for_connection) withdrawn.push_back(key);
    return attempts_wait_for_connection;
}

void FakeEnvironment::finish_request(RequestId id, const FinalResponse& response) {
    finished.push_back({id, response});
}

}  // namespace silverreach::core

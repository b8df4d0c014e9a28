#include "tests/decisions/support/engine_harness.h"

#include <chrono>
#include <utility>

namespace silverreach::decision_tests {

using namespace std::chrono_literals;

Settings single_instance_settings() {
    Settings settings;
    settings.classes = {{.name = "read",
                         .idempotency = Idempotency::idempotent,
                         .latency_objective = 800ms,
                         .deadline = 2s}};
    settings.plans = {{.name = "plan", .rate = 2, .burst = 4, .excess_cost_factor = 1}};
    settings.max_attempts = 3;
    settings.may_hedge = true;
    settings.may_cancel = true;
    settings.may_send_retry_after = true;
    settings.timer_tick = 4ms;
    settings.slow_start_window = 10s;
    settings.overload_window = 2s;
    settings.overload_factor = 2;
    settings.initial_capacity_share = 0.2;
    return settings;
}

Settings two_instance_settings() {
    Settings settings = single_instance_settings();
    settings.instance_count = 2;
    settings.may_message_peers = true;
    settings.peer_messages_per_second = 60;
    return settings;
}

Settings without_rate_quota(Settings settings) {
    settings.plans[0].rate = 0;
    settings.plans[0].burst = 0;
    return settings;
}

EndpointEntry make_endpoint(const std::string& id, EndpointStatus status, std::int64_t cell) {
    EndpointEntry endpoint;
    endpoint.id = id;
    endpoint.cell = cell;
    endpoint.status = status;
    return endpoint;
}

std::vector<EndpointEntry> make_endpoints(char first, char last) {
    std::vector<EndpointEntry> endpoints;
    for (char letter = first; letter <= last; ++letter)
        endpoints.push_back(make_endpoint(std::string(1, letter)));
    return endpoints;
}

void append(std::vector<Action>& actions, const std::vector<Action>& more) {
    actions.insert(actions.end(), more.begin(), more.end());
}

EngineHarness::EngineHarness(const Settings& settings, std::vector<EndpointEntry> endpoints,
                             std::uint64_t seed)
    : engine(settings, seed, engine_start) {
    handle(EndpointsChanged{true, std::move(endpoints)});
}

std::vector<Action> EngineHarness::handle(const Event& event) {
    std::vector<Action> caused;
    engine.handle(now, event, caused);
    for (const SetTimer& timer : actions_of<SetTimer>(caused))
        timer_tokens.emplace(now + timer.delay, timer.token);
    append(actions, caused);
    return caused;
}

std::vector<Action> EngineHarness::arrive(const ClientRequest& request) {
    return handle(RequestArrived{.id = request.id,
                                 .customer = request.customer,
                                 .plan = request.plan,
                                 .request_class = request.request_class,
                                 .units = request.units,
                                 .time_remaining = request.time_remaining,
                                 .subset_size = request.subset_size});
}

std::vector<Action> EngineHarness::end_attempt(AttemptEnded ended) {
    if (ended.outcome == Outcome::success) ended.request_completed = true;
    return handle(ended);
}

std::vector<Action> EngineHarness::succeed(RequestId id, const std::string& endpoint,
                                           Micros duration) {
    return end_attempt({.id = id, .endpoint = endpoint, .duration = duration});
}

std::vector<Action> EngineHarness::advance(Micros duration) {
    std::vector<Action> caused;
    const Micros until = now + duration;
    while (!timer_tokens.empty() && timer_tokens.begin()->first <= until) {
        const auto [due, token] = *timer_tokens.begin();
        timer_tokens.erase(timer_tokens.begin());
        now = due;
        append(caused, handle(TimerFired{token}));
    }
    now = until;
    return caused;
}

void drive_into_overload(EngineHarness& harness) {
    constexpr RequestId first_id = 1000;
    constexpr RequestId request_count = 30;
    for (RequestId id = first_id; id < first_id + request_count; ++id) {
        const auto sent = actions_of<SendAttempt>(
            harness.arrive({.id = id, .units = 0, .plan = -1, .customer = "unlimited"}));
        if (!sent.empty()) harness.succeed(id, sent[0].endpoint, 700ms);
    }
}

}  // namespace silverreach::decision_tests

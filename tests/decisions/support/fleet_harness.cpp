#include "tests/decisions/support/fleet_harness.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace silverreach::decision_tests {

using namespace std::chrono_literals;

namespace {
constexpr Micros clock_step = 4ms;
constexpr Micros max_message_delay = 20ms;
constexpr Micros request_time_remaining = 500ms;
// One message in this many is lost; of the others, one in this many is duplicated.
constexpr std::uint64_t message_fault_interval = 16;

std::vector<EndpointEntry> fleet_endpoints() {
    return make_endpoints('a', 'd');
}
}  // namespace

FleetHarness::FleetHarness(Settings settings, int instance_count, std::uint64_t seed)
    : random(seed), settings_(std::move(settings)) {
    settings_.instance_count = instance_count;
    for (int rank = 0; rank < instance_count; ++rank) {
        settings_.rank = rank;
        instances.emplace_back(settings_, fleet_endpoints(), random());
    }
}

void FleetHarness::advance(Micros duration) {
    for (const Micros until = now + duration; now < until;) {
        now = std::min(until, now + clock_step);
        run_timers();
        deliver_messages();
        deliver_responses();
    }
}

void FleetHarness::arrive(int rank, RequestId id, double units, int subset_size) {
    EngineHarness& instance = instances[static_cast<std::size_t>(rank)];
    carry_out(rank, instance.arrive({.id = id,
                                     .units = units,
                                     .time_remaining = request_time_remaining,
                                     .subset_size = subset_size}));
}

void FleetHarness::restart(int rank) {
    EngineHarness& instance = instances[static_cast<std::size_t>(rank)];
    settings_.rank = rank;
    instance.engine = DecisionEngine(settings_, random(), now);
    instance.timer_tokens.clear();
    std::erase_if(responses_, [&](const auto& entry) { return entry.second.rank == rank; });
    instance.handle(EndpointsChanged{true, fleet_endpoints()});
}

std::vector<FleetAttempt> FleetHarness::take_sent() {
    return std::exchange(sent_, {});
}

int FleetHarness::random_rank(int instance_count) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(instance_count));
}

void FleetHarness::carry_out(int rank, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
            sent_.push_back({rank, *attempt});
            responses_.emplace(now + response_time, sent_.back());
        } else if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
            post_message(rank, *message);
        }
    }
}

void FleetHarness::post_message(int from, const SendPeerMessage& message) {
    if (random() % message_fault_interval == 0) return;
    const int copies = random() % message_fault_interval == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = Micros(random() % static_cast<std::uint64_t>(max_message_delay.count()));
        messages_.emplace(now + delay, Message{message.to, {from, message.bytes}});
    }
}

void FleetHarness::run_timers() {
    for (std::size_t rank = 0; rank < instances.size(); ++rank) {
        EngineHarness& instance = instances[rank];
        if (instance.timer_tokens.empty() || instance.timer_tokens.begin()->first > now)
            instance.now = now;
        else
            carry_out(static_cast<int>(rank), instance.advance(now - instance.now));
    }
}

void FleetHarness::deliver_messages() {
    while (!messages_.empty() && messages_.begin()->first <= now) {
        const Message message = messages_.begin()->second;
        messages_.erase(messages_.begin());
        carry_out(message.to,
                  instances[static_cast<std::size_t>(message.to)].handle(message.received));
    }
}

void FleetHarness::deliver_responses() {
    while (!responses_.empty() && responses_.begin()->first <= now) {
        const FleetAttempt sent = responses_.begin()->second;
        responses_.erase(responses_.begin());
        carry_out(sent.rank, instances[static_cast<std::size_t>(sent.rank)].succeed(
                                 sent.attempt.id, sent.attempt.endpoint, response_time));
    }
}

}  // namespace silverreach::decision_tests

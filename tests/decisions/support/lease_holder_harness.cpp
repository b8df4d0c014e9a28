#include "tests/decisions/support/lease_holder_harness.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace silverreach::decision_tests {

using namespace std::chrono_literals;

namespace {
Settings lease_holder_settings(int instance_count, double rate, double burst) {
    Settings settings = two_instance_settings();
    settings.instance_count = instance_count;
    settings.rank = (owner_rank(instance_count) + 1) % instance_count;
    settings.peer_messages_per_second = 1000;
    settings.plans[0].rate = rate;
    settings.plans[0].burst = burst;
    return settings;
}
}  // namespace

int owner_rank(int instance_count) {
    return static_cast<int>(hash_name(default_customer) %
                            static_cast<std::uint32_t>(instance_count));
}

std::vector<LeaseRequest> lease_requests_to(int peer, const std::vector<Action>& actions) {
    std::vector<LeaseRequest> requests;
    for (const SendPeerMessage& sent : actions_of<SendPeerMessage>(actions)) {
        const auto messages = decode(sent.bytes);
        if (!messages || sent.to != peer) continue;
        for (const PeerMessage& message : *messages) {
            if (const auto* request = std::get_if<LeaseRequest>(&message))
                requests.push_back(*request);
        }
    }
    return requests;
}

LeaseRequest lease_request_in(const SendPeerMessage& message) {
    return std::get<LeaseRequest>(decode(message.bytes).value().at(0));
}

LeaseHolderHarness::LeaseHolderHarness(int instance_count, double rate, double burst)
    : settings(lease_holder_settings(instance_count, rate, burst)),
      owner(owner_rank(instance_count)),
      instance(settings) {}

std::vector<Action> LeaseHolderHarness::arrive(RequestId id) {
    return instance.arrive({.id = id, .subset_size = settings.instance_count});
}

std::vector<Action> LeaseHolderHarness::grant(const LeaseRequest& request, LeaseGrant lease) {
    lease.nonce = request.nonce;
    return instance.handle(PeerMessageReceived{owner, encode({lease})});
}

RequestId LeaseHolderHarness::send_steady_load(Micros duration, RequestId last_id,
                                               double standing_share) {
    constexpr Micros request_interval = 100ms;
    for (Micros elapsed{0}; elapsed < duration; elapsed += request_interval) {
        auto caused = instance.advance(request_interval);
        append(caused, arrive(++last_id));
        for (const LeaseRequest& request : lease_requests_to(owner, caused)) {
            grant(request, {.units = request.required_units + request.extra_units,
                            .demand_rate = 10,
                            .standing_share = standing_share,
                            .holder_count = 2});
        }
        for (const SendAttempt& attempt : actions_of<SendAttempt>(instance.actions))
            instance.succeed(attempt.id, attempt.endpoint, 1ms);
        instance.actions.clear();
    }
    return last_id;
}

int LeaseHolderHarness::count_sent_immediately(RequestId& last_id, int count) {
    int sent = 0;
    for (int request = 0; request < count; ++request) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(arrive(++last_id))) {
            instance.succeed(attempt.id, attempt.endpoint, 1ms);
            ++sent;
        }
    }
    return sent;
}

}  // namespace silverreach::decision_tests

// The queue of requests that wait because every endpoint is at its concurrency limit.
#include "decisions/admission/admission_queue.h"

#include <gtest/gtest.h>

#include <vector>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
// Sends requests until one is queued; returns its id.
RequestId fill_endpoints(EngineHarness& harness) {
    RequestId id = 1;
    while (!actions_of<SendAttempt>(harness.arrive({.id = id})).empty())
        ++id;
    return id;
}
}  // namespace

// In order of arrival, every request of a long queue would be sent just before its latest start.
TEST(AdmissionQueue, DispatchesTheNewestRequestFirst) {
    EngineHarness harness(
        without_rate_quota(single_instance_settings()),
        {make_endpoint("a"), make_endpoint("b"), make_endpoint("c", EndpointStatus::draining),
         make_endpoint("d", EndpointStatus::draining)});
    const RequestId newest = fill_endpoints(harness) + 1;  // the queue has room for two
    harness.arrive({.id = newest});
    const auto sent = actions_of<SendAttempt>(harness.succeed(1, "a", 20ms));
    ASSERT_GE(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, newest);
}

TEST(AdmissionQueue, RejectsTheOldestRequestWhenFull) {
    EngineHarness harness(without_rate_quota(single_instance_settings()), {make_endpoint("a")});
    const RequestId oldest = fill_endpoints(harness);
    const auto caused = harness.arrive({.id = oldest + 1});
    ASSERT_EQ(actions_of<RejectRequest>(caused).size(), 1u);
    EXPECT_EQ(actions_of<RejectRequest>(caused)[0].id, oldest);
}

TEST(AdmissionQueue, KeepsRequestsThatCannotBeSentAndDropsThosePastTheirLatestStart) {
    constexpr Micros now = 10s;
    RequestTable requests;
    AdmissionQueue queue(requests);
    for (RequestId id = 1; id <= 3; ++id) {
        RequestState& request = requests[id];
        request.arrival.id = id;
        request.latest_start = id == 2 ? now - 1us : now;
        queue.push(request);
        queue.push(request);  // has no effect: already queued
    }
    std::vector<RequestId> tried;
    const auto dispatch = [&](bool sent) {
        tried.clear();
        queue.dispatch_queued(now, [&](const RequestState& request) {
            tried.push_back(request.arrival.id);
            return sent;
        });
    };
    dispatch(false);
    EXPECT_EQ(tried, (std::vector<RequestId>{3, 1}));
    dispatch(true);
    EXPECT_EQ(tried, (std::vector<RequestId>{3, 1}));
}

#include <silverreach/interface.h>

#include <cstdio>

int main() {
    using namespace silverreach;
    using namespace std::chrono_literals;
    Settings settings;
    settings.classes = {{.name = "read", .latency_objective = 800ms, .deadline = 2s}};
    settings.plans = {{.name = "basic", .rate = 2, .burst = 8}};
    DecisionEngine engine(settings, /*seed=*/1, /*now=*/1s);
    std::vector<Action> actions;
    EndpointEntry endpoint;
    endpoint.id = "10.0.0.1:80";
    engine.handle(1s, EndpointsChanged{true, {endpoint}}, actions);
    const RequestArrived request{.id = 7, .customer = "c1", .time_remaining = 2s};
    engine.handle(1s, request, actions);
    for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<SendAttempt>(&action))
            std::printf("send to %s\n", attempt->endpoint.c_str());
    }
}

#include <silverreach/interface.h>

#include <cstdio>

int main() {
    using namespace silverreach;
    using namespace std::chrono_literals;
    Settings settings;
    settings.classes = {{"read", Effect::safe, RepeatScope::all, 800ms, 2s}};
    settings.plans = {{"basic", 2.0, 8.0}};
    Gateway gateway(settings, /*seed*/ 1, /*now*/ 1s);
    std::vector<Action> actions;
    gateway.handle(1s, HostsChanged{true, {HostEntry{"10.0.0.1:80"}}}, actions);
    RequestArrived request;
    request.id = 7, request.customer = "c1", request.time_left = 2s;
    gateway.handle(1s, request, actions);
    for (const Action& action : actions)
        if (const auto* send = std::get_if<SendAttempt>(&action))
            std::printf("send to %s\n", send->host.c_str());
}

// silverreach_soak [seed [seconds [gateways [hosts]]]]: runs gateway processes on loopback under
// overlapping faults and checks their guarantees. Prints the faults and each violation; the exit
// code is 1 if there is a violation. SOAK_LOGS names a directory that receives the gateways' logs
// after a violation; with SILVERREACH_LOG=debug the logs contain each request.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "tests/soak/test_environment.h"

int main(int argument_count, char** arguments) {
    using namespace std::chrono_literals;
    const auto integer_argument = [&](int index, int default_value) {
        return argument_count > index ? std::atoi(arguments[index]) : default_value;
    };
    const auto seed = static_cast<std::uint64_t>(integer_argument(1, 1));
    const auto duration = std::chrono::seconds(integer_argument(2, 20));
    soak::EnvironmentSize size;
    size.gateways = integer_argument(3, size.gateways);
    size.hosts = integer_argument(4, size.hosts);
    ::signal(SIGPIPE, SIG_IGN);

    soak::GuaranteeChecker checker{soak::GuaranteeLimits{}};
    silverreach::event::Loop loop;
    const auto started_at = silverreach::event::Loop::clock();
    const auto seconds_since_start = [&](soak::Micros time) {
        return static_cast<double>((time - started_at).count()) / 1e6;
    };
    {
        soak::TestEnvironment environment(loop, size, seed, checker);
        soak::inject_faults(environment, duration, [&](const std::string& description) {
            std::printf("%7.3f %s\n", seconds_since_start(silverreach::event::Loop::clock()),
                        description.c_str());
        });
        loop.after(duration, [&] { environment.stop_clients(); });
        loop.after(duration + 4s, [&] { loop.stop(); });
        loop.run();
        checker.finish(silverreach::event::Loop::clock());
        const char* log_directory = std::getenv("SOAK_LOGS");
        if (log_directory && !checker.violations().empty()) environment.save_logs(log_directory);
    }
    for (const soak::Violation& violation : checker.violations())
        std::printf("BREACH %7.3f %s: %s\n", seconds_since_start(violation.time),
                    soak::name_of(violation.kind).c_str(), violation.description.c_str());
    std::printf(
        "seed %llu: %zu requests, %zu served, %zu refused or failed, %zu attempts, %zu breaches\n",
        static_cast<unsigned long long>(seed), checker.request_count(), checker.served_count(),
        checker.refused_or_failed_count(), checker.attempt_count(), checker.violations().size());
    const bool served_enough = checker.served_count() > checker.request_count() / 4;
    if (!served_enough)
        std::printf("BREACH: too few requests were served for a meaningful result\n");
    return checker.violations().empty() && served_enough ? 0 : 1;
}

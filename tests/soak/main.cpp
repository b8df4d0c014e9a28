// silverreach_soak [seed [seconds [gateways [hosts]]]]: real gateway processes on loopback under
// overlapping troubles, judged by the promises. Prints the troubles and every breach; exit code 1
// where there is one. SOAK_LOGS names a folder that gets the gateways' logs where there was a
// breach; with SILVERREACH_LOG=debug they tell of every request.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "tests/soak/world.h"

int main(int count, char** words) {
    using namespace std::chrono_literals;
    const auto number = [&](int at, int otherwise) {
        return count > at ? std::atoi(words[at]) : otherwise;
    };
    const auto seed = static_cast<std::uint64_t>(number(1, 1));
    const auto span = std::chrono::seconds(number(2, 20));
    soak::Size size;
    size.gateways = number(3, size.gateways);
    size.hosts = number(4, size.hosts);
    ::signal(SIGPIPE, SIG_IGN);

    soak::Ledger ledger{soak::Figures{}};
    silverreach::event::Loop loop;
    const auto begun = silverreach::event::Loop::clock();
    const auto time = [&](soak::Micros at) {
        return static_cast<double>((at - begun).count()) / 1e6;
    };
    {
        soak::World world(loop, size, seed, ledger);
        soak::play_troubles(world, span, [&](const std::string& what) {
            std::printf("%7.3f %s\n", time(silverreach::event::Loop::clock()), what.c_str());
        });
        loop.after(span, [&] { world.stop_clients(); });
        loop.after(span + 4s, [&] { loop.stop(); });
        loop.run();
        ledger.finish(silverreach::event::Loop::clock());
        const char* logs = std::getenv("SOAK_LOGS");
        if (logs && !ledger.violations().empty()) world.keep_logs(logs);
    }
    for (const soak::Violation& v : ledger.violations())
        std::printf("BREACH %7.3f %s: %s\n", time(v.at), soak::text_of(v.breach).c_str(),
                    v.what.c_str());
    std::printf(
        "seed %llu: %zu requests, %zu served, %zu refused or failed, %zu attempts, %zu breaches\n",
        static_cast<unsigned long long>(seed), ledger.requests(), ledger.served(),
        ledger.refused_or_failed(), ledger.attempts(), ledger.violations().size());
    const bool enough = ledger.served() > ledger.requests() / 4;
    if (!enough) std::printf("BREACH: too little was served to tell anything\n");
    return ledger.violations().empty() && enough ? 0 : 1;
}

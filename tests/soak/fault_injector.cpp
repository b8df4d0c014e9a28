// Injects the faults of the soak test. Several faults may overlap; each starts at a random time and
// is removed after its duration.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

#include "tests/soak/test_environment.h"

namespace soak {
namespace {
using namespace std::chrono_literals;
using faults::SystemCall;

struct SystemCallFault {
    SystemCall system_call;
    int error;
    int per_mille;
    std::chrono::milliseconds duration;
};
// Errors that the manual pages document, each injected for a short time.
constexpr std::array transient_faults{
    SystemCallFault{faults::accept4_call, ENFILE, 1000, 250ms},
    SystemCallFault{faults::accept4_call, ENOBUFS, 1000, 250ms},
    SystemCallFault{faults::accept4_call, ECONNABORTED, 300, 800ms},
    SystemCallFault{faults::accept4_call, EINTR, 300, 800ms},
    SystemCallFault{faults::recv_call, EINTR, 200, 800ms},
    SystemCallFault{faults::recv_call, ENOMEM, 100, 500ms},
    SystemCallFault{faults::send_call, EINTR, 200, 800ms},
    SystemCallFault{faults::send_call, ENOBUFS, 100, 500ms},
    SystemCallFault{faults::connect_call, EADDRNOTAVAIL, 700, 300ms},
    SystemCallFault{faults::connect_call, EINTR, 500, 800ms},
    SystemCallFault{faults::connect_result, ENETUNREACH, 500, 400ms},
    SystemCallFault{faults::connect_result, ETIMEDOUT, 200, 400ms},
    SystemCallFault{faults::socket_call, ENFILE, 500, 300ms},
    SystemCallFault{faults::socket_call, ENOBUFS, 500, 300ms},
    SystemCallFault{faults::epoll_ctl_call, ENOMEM, 100, 300ms},
    SystemCallFault{faults::epoll_wait_call, EINTR, 300, 500ms},
    SystemCallFault{faults::write_call, ENOSPC, 1000, 1500ms},
    SystemCallFault{faults::write_call, EIO, 500, 1500ms}};

class FaultInjector {
  public:
    FaultInjector(TestEnvironment& environment, Micros duration,
                  std::function<void(std::string)> report)
        : environment_(environment),
          end_time_(environment.now() + duration),
          report_(std::move(report)) {
        schedule_next();
    }

  private:
    void schedule_next() {
        environment_.loop.after(std::chrono::milliseconds(80 + environment_.random_below(250)),
                                [this] {
                                    if (environment_.now() >= end_time_) return;
                                    inject_random_fault();
                                    schedule_next();
                                });
    }
    void run_after(Micros delay, std::function<void()> callback) {
        environment_.loop.after(delay, std::move(callback));
    }
    void report(const std::string& description) { report_(description); }
    // Returns a gateway that is running and not about to be stopped, or nullptr.
    Gateway* random_running_gateway(int& number) {
        for (int i = 0; i < 10; ++i) {
            number = environment_.random_below(environment_.size.gateways);
            Gateway& gateway = environment_.gateways[static_cast<std::size_t>(number)];
            if (gateway.is_ready && !gateway.is_expected_down) return &gateway;
        }
        return nullptr;
    }
    void inject_random_fault() {
        switch (environment_.random_below(12)) {
            case 0:
                return restart_gateway(true);
            case 1:
                return restart_gateway(false);
            case 2:
                return reload();
            case 3:
                return stop_process();
            case 4:
            case 5:
            case 6:
                return fail_calls();
            case 7:
                return step_wall_clock();
            case 8:
                return change_host_mode();
            case 9:
                return restart_host();
            case 10:
                return drain_host();
            default:
                return change_discovery_mode();
        }
    }

    void restart_gateway(bool with_sigterm) {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        report(fmt::format("{} {}", gateway->name, with_sigterm ? "SIGTERM" : "SIGKILL"));
        gateway->is_expected_down = true;
        if (with_sigterm) gateway->terminated_at = environment_.now();
        gateway->process->signal(with_sigterm ? SIGTERM : SIGKILL);
        if (!with_sigterm) gateway->is_ready = false;
        // Clients avoid the gateway only after a delay, as behind a load balancer.
        run_after(300ms, [gateway] { gateway->is_ready = false; });
        run_after(with_sigterm ? 2700ms : 50ms, [this, gateway, number] {
            const auto status = gateway->process->exit_status();
            if (status && gateway->terminated_at != 0us && *status != 0)
                environment_.checker.add_violation(
                    environment_.now(), ViolationKind::crash,
                    fmt::format("{} ended with status {} after SIGTERM", gateway->name, *status));
            if (!status) {
                gateway->process->signal(SIGKILL);
                gateway->process->wait_for_exit();
            }
            // Clients must see that its connections are closed before it is started again.
            run_after(100ms, [this, number] { environment_.start_gateway(number); });
        });
    }
    // Reloads a new configuration that is only half written when the signal arrives.
    void reload() {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        report(gateway->name + " SIGHUP, configuration file half written");
        gateway->uses_alternate = !gateway->uses_alternate;
        const std::string config = environment_.config(number);
        gateway->process->write_file(config.substr(0, config.size() / 2));
        gateway->process->signal(SIGHUP);
        run_after(300ms, [this, gateway, number] {
            gateway->process->configure(environment_.config(number));
        });
    }
    void stop_process() {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        report(gateway->name + " stopped for 120 ms");
        gateway->process->signal(SIGSTOP);
        run_after(120ms, [gateway] { gateway->process->signal(SIGCONT); });
    }
    void fail_calls() {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        const SystemCallFault& fault = transient_faults[static_cast<std::size_t>(
            environment_.random_below(static_cast<int>(transient_faults.size())))];
        report(fmt::format("{} call {} fails with {}", gateway->name,
                           static_cast<int>(fault.system_call), fault.error));
        auto& fault_table = gateway->process->faults;
        fault_table.fail(fault.system_call, fault.error, faults::unlimited, fault.duration,
                         fault.per_mille);
        if (environment_.uniform() < 0.3) {
            fault_table->short_io_max_bytes = 1 + environment_.random_below(30);
            fault_table->short_io_per_mille = 200;
            run_after(800ms, [gateway] { gateway->process->faults->short_io_per_mille = 0; });
        }
    }
    void step_wall_clock() {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        const std::int64_t offset_s =
            (environment_.uniform() < 0.5 ? 1 : -1) * (environment_.uniform() < 0.5 ? 3600 : 5);
        report(fmt::format("{} wall clock offset {} s", gateway->name, offset_s));
        gateway->process->faults->wall_clock_offset_us = offset_s * 1'000'000;
    }
    void change_host_mode() {
        Host& host = *environment_.hosts[static_cast<std::size_t>(
            environment_.random_below(environment_.size.hosts))];
        if (!host.is_up()) return;
        if (environment_.uniform() < 0.3) {
            report(host.uid() + " resets connections");
            return host.reset_half();
        }
        const auto mode = static_cast<HostMode>(1 + environment_.random_below(5));
        report(fmt::format("{} mode {}", host.uid(), static_cast<int>(mode)));
        host.set_mode(mode);
        run_after(std::chrono::milliseconds(500 + environment_.random_below(1500)),
                  [&host] { host.set_mode(HostMode::normal); });
    }
    void restart_host() {
        Host& host = *environment_.hosts[static_cast<std::size_t>(
            environment_.random_below(environment_.size.hosts))];
        if (!host.is_up()) return;
        report(host.uid() + " crashes");
        host.crash();
        run_after(800ms, [this, &host] {
            host.start();
            environment_.update_list();
        });
    }
    void drain_host() {
        const int number = environment_.random_below(environment_.size.hosts);
        if (environment_.draining_hosts.size() + environment_.removed_hosts.size() >= 2 ||
            environment_.removed_hosts.contains(number))
            return;
        if (!environment_.draining_hosts.insert(number).second) return;
        report(fmt::format("s-{} drains", number));
        environment_.update_list();
        run_after(1500ms, [this, number] {
            environment_.draining_hosts.erase(number);
            environment_.removed_hosts.insert(number);
            environment_.update_list();
        });
        run_after(3s, [this, number] {
            environment_.removed_hosts.erase(number);
            environment_.update_list();
        });
    }
    void change_discovery_mode() {
        int number = 0;
        Gateway* gateway = random_running_gateway(number);
        if (!gateway) return;
        DiscoveryServer& discovery = gateway->active_discovery();
        const int variant = environment_.random_below(5);
        report(fmt::format("{} discovery fault {}", gateway->name, variant));
        if (variant == 0) return discovery.close_watches();
        constexpr std::array modes{DiscoveryMode::silent, DiscoveryMode::refuse,
                                   DiscoveryMode::slow, DiscoveryMode::truncated};
        discovery.set_mode(modes[static_cast<std::size_t>(variant - 1)]);
        if (variant == 3) discovery.close_watches();
        run_after(std::chrono::milliseconds(1000 + environment_.random_below(3000)),
                  [&discovery] { discovery.set_mode(DiscoveryMode::normal); });
    }

    TestEnvironment& environment_;
    Micros end_time_;
    std::function<void(std::string)> report_;
};
}  // namespace

void inject_faults(TestEnvironment& environment, Micros duration,
                   std::function<void(std::string)> report) {
    // The timer keeps the injector alive until after the loop has stopped.
    auto injector = std::make_shared<FaultInjector>(environment, duration, std::move(report));
    environment.loop.after(duration + 60s, [injector] {});
}

}  // namespace soak

// The troubles of a soak day. Several run at a time: each is begun at its moment and undone by
// itself.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

#include "tests/soak/world.h"

namespace soak {
namespace {
using namespace std::chrono_literals;
using faults::SystemCall;

struct Fault {
    SystemCall call;
    int error;
    int per_mille;
    std::chrono::milliseconds span;
};
// Errors as the manual pages document them, for moments.
constexpr std::array faults_of_a_moment{Fault{faults::accept4_call, ENFILE, 1000, 250ms},
                                        Fault{faults::accept4_call, ENOBUFS, 1000, 250ms},
                                        Fault{faults::accept4_call, ECONNABORTED, 300, 800ms},
                                        Fault{faults::accept4_call, EINTR, 300, 800ms},
                                        Fault{faults::recv_call, EINTR, 200, 800ms},
                                        Fault{faults::recv_call, ENOMEM, 100, 500ms},
                                        Fault{faults::send_call, EINTR, 200, 800ms},
                                        Fault{faults::send_call, ENOBUFS, 100, 500ms},
                                        Fault{faults::connect_call, EADDRNOTAVAIL, 700, 300ms},
                                        Fault{faults::connect_call, EINTR, 500, 800ms},
                                        Fault{faults::connect_result, ENETUNREACH, 500, 400ms},
                                        Fault{faults::connect_result, ETIMEDOUT, 200, 400ms},
                                        Fault{faults::socket_call, ENFILE, 500, 300ms},
                                        Fault{faults::socket_call, ENOBUFS, 500, 300ms},
                                        Fault{faults::epoll_ctl_call, ENOMEM, 100, 300ms},
                                        Fault{faults::epoll_wait_call, EINTR, 300, 500ms},
                                        Fault{faults::write_call, ENOSPC, 1000, 1500ms},
                                        Fault{faults::write_call, EIO, 500, 1500ms}};

class Troubles {
  public:
    Troubles(World& world, Micros span, std::function<void(std::string)> tell)
        : world_(world), end_(world.now() + span), tell_(std::move(tell)) {
        next();
    }

  private:
    void next() {
        world_.loop.after(std::chrono::milliseconds(80 + world_.below(250)), [this] {
            if (world_.now() >= end_) return;
            one();
            next();
        });
    }
    void later(Micros wait, std::function<void()> call) {
        world_.loop.after(wait, std::move(call));
    }
    void told(const std::string& what) { tell_(what); }
    // One that runs and is not about to end.
    Gateway* some_gateway(int& number) {
        for (int i = 0; i < 10; ++i) {
            number = world_.below(world_.size.gateways);
            Gateway& gateway = world_.gateways[static_cast<std::size_t>(number)];
            if (gateway.ready && !gateway.expected_down) return &gateway;
        }
        return nullptr;
    }
    void one() {
        switch (world_.below(12)) {
            case 0:
                return restart(true);
            case 1:
                return restart(false);
            case 2:
                return reload();
            case 3:
                return stall();
            case 4:
            case 5:
            case 6:
                return fail_calls();
            case 7:
                return step_clock();
            case 8:
                return host_mode();
            case 9:
                return host_restart();
            case 10:
                return drain_host();
            default:
                return trouble_discovery();
        }
    }

    void restart(bool in_order) {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        told(fmt::format("{} {}", gateway->name, in_order ? "SIGTERM" : "SIGKILL"));
        gateway->expected_down = true;
        if (in_order) gateway->terminated = world_.now();
        gateway->process->signal(in_order ? SIGTERM : SIGKILL);
        if (!in_order) gateway->ready = false;
        // A load balancer sees the end after a while.
        later(300ms, [gateway] { gateway->ready = false; });
        later(in_order ? 2700ms : 50ms, [this, gateway, number] {
            const auto status = gateway->process->exit_status();
            if (status && gateway->terminated != 0us && *status != 0)
                world_.ledger.violation(
                    world_.now(), Breach::crash,
                    fmt::format("{} ended with status {} after SIGTERM", gateway->name, *status));
            if (!status) {
                gateway->process->signal(SIGKILL);
                gateway->process->wait_for_exit();
            }
            // The clients see the end of its connections before the next life begins.
            later(100ms, [this, number] { world_.start_gateway(number); });
        });
    }
    // A new configuration, half written when the signal comes.
    void reload() {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        told(gateway->name + " SIGHUP, the file half written");
        gateway->moved = !gateway->moved;
        const std::string text = world_.config(number);
        gateway->process->write_file(text.substr(0, text.size() / 2));
        gateway->process->signal(SIGHUP);
        later(300ms,
              [this, gateway, number] { gateway->process->configure(world_.config(number)); });
    }
    void stall() {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        told(gateway->name + " held up for 120 ms");
        gateway->process->signal(SIGSTOP);
        later(120ms, [gateway] { gateway->process->signal(SIGCONT); });
    }
    void fail_calls() {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        const Fault& fault = faults_of_a_moment[static_cast<std::size_t>(
            world_.below(static_cast<int>(faults_of_a_moment.size())))];
        told(fmt::format("{} call {} fails with {}", gateway->name, static_cast<int>(fault.call),
                         fault.error));
        auto& table = gateway->process->faults;
        table.fail(fault.call, fault.error, faults::unlimited, fault.span, fault.per_mille);
        if (world_.uniform() < 0.3) {
            table->short_io_max_bytes = 1 + world_.below(30);
            table->short_io_per_mille = 200;
            later(800ms, [gateway] { gateway->process->faults->short_io_per_mille = 0; });
        }
    }
    void step_clock() {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        const std::int64_t by =
            (world_.uniform() < 0.5 ? 1 : -1) * (world_.uniform() < 0.5 ? 3600 : 5);
        told(fmt::format("{} wall clock {} s", gateway->name, by));
        gateway->process->faults->wall_clock_offset_us = by * 1'000'000;
    }
    void host_mode() {
        Host& host = *world_.hosts[static_cast<std::size_t>(world_.below(world_.size.hosts))];
        if (!host.up()) return;
        if (world_.uniform() < 0.3) {
            told(host.uid() + " resets connections");
            return host.reset_some();
        }
        const auto mode = static_cast<HostMode>(1 + world_.below(5));
        told(fmt::format("{} mode {}", host.uid(), static_cast<int>(mode)));
        host.mode(mode);
        later(std::chrono::milliseconds(500 + world_.below(1500)),
              [&host] { host.mode(HostMode::well); });
    }
    void host_restart() {
        Host& host = *world_.hosts[static_cast<std::size_t>(world_.below(world_.size.hosts))];
        if (!host.up()) return;
        told(host.uid() + " crashes");
        host.crash();
        later(800ms, [this, &host] {
            host.start();
            world_.list_changed();
        });
    }
    void drain_host() {
        const int number = world_.below(world_.size.hosts);
        if (world_.draining.size() + world_.gone.size() >= 2 || world_.gone.contains(number))
            return;
        if (!world_.draining.insert(number).second) return;
        told(fmt::format("s-{} drains", number));
        world_.list_changed();
        later(1500ms, [this, number] {
            world_.draining.erase(number);
            world_.gone.insert(number);
            world_.list_changed();
        });
        later(3s, [this, number] {
            world_.gone.erase(number);
            world_.list_changed();
        });
    }
    void trouble_discovery() {
        int number = 0;
        Gateway* gateway = some_gateway(number);
        if (!gateway) return;
        Directory& directory = gateway->followed();
        const int which = world_.below(5);
        told(fmt::format("{} discovery trouble {}", gateway->name, which));
        if (which == 0) return directory.end_watches();
        constexpr std::array modes{DirectoryMode::silent, DirectoryMode::refuses,
                                   DirectoryMode::slow, DirectoryMode::torn};
        directory.mode(modes[static_cast<std::size_t>(which - 1)]);
        if (which == 3) directory.end_watches();
        later(std::chrono::milliseconds(1000 + world_.below(3000)),
              [&directory] { directory.mode(DirectoryMode::well); });
    }

    World& world_;
    Micros end_;
    std::function<void(std::string)> tell_;
};
}  // namespace

void play_troubles(World& world, Micros span, std::function<void(std::string)> tell) {
    // Lives as long as the loop runs.
    auto troubles = std::make_shared<Troubles>(world, span, std::move(tell));
    world.loop.after(span + 60s, [troubles] {});
}

}  // namespace soak

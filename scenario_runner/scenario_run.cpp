#include "scenario_runner/scenario_run.h"

#include <fmt/format.h>
#include <google/protobuf/text_format.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "config/config.h"
#include "fakes/discovery_server.h"
#include "fakes/relay.h"
#include "scenario_runner/gateway_process.h"

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
constexpr Micros poll_interval = 5ms, start_timeout = 20s, drain_timeout = 10s;

std::string read_text(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": cannot be read");
    return text.str();
}
class ScenarioRun {
  public:
    ScenarioRun(const Scenario& scenario, std::string program, std::string folder,
                const std::string& work, const std::function<void(const std::string&)>& progress)
        : scenario_(scenario),
          program_(std::move(program)),
          folder_(std::move(folder)),
          work_(work),
          progress_(progress),
          records_(work + "/records.jsonl"),
          base_config_(read_config()),
          discovery_(loop_, base_config_.hosts().cluster(), Micros(0), records_) {
        for (const auto& account : base_config_.account())
            for (const std::string& key : account.key())
                plan_by_key_[key] = account.plan();
        make_hosts();
        make_gateways();
        clients_ = std::make_unique<fakes::Clients>(loop_, scenario.seed * 31 + 7, records_,
                                                    [this] { return ports_; });
    }

    ScenarioResult run() {
        for (std::size_t i = 0; i < gateways_.size(); ++i)
            start_gateway(i);
        wait_until(loop_.now() + start_timeout, [this] { return all_listening(); });
        if (!all_listening()) {
            result_.errors.push_back("a gateway did not start; see its log in " + work_);
            return finish();
        }
        wait_until(loop_.now() + scenario_.settle_time, [] { return false; });
        began_at_ = loop_.now();
        progress_(fmt::format("{} gateways, {} hosts; clients send for {:.0f} s", gateways_.size(),
                              hosts_.size(),
                              static_cast<double>(scenario_.duration.count()) / 1e6));
        for (const fakes::Flow& flow : scenario_.flows)
            clients_->run(flow, scenario_.duration);
        for (const ScenarioEvent& event : scenario_.events)
            loop_.after(event.at, [this, &event] { perform(event); });
        wait_until(began_at_ + scenario_.duration, [] { return false; });
        wait_until(loop_.now() + drain_timeout, [this] { return clients_->in_flight() == 0; });
        return finish();
    }

  private:
    config::Config read_config() const {
        config::Config config;
        google::protobuf::TextFormat::Parser parser;
        parser.AllowPartialMessage(true);
        if (!parser.ParseFromString(read_text(folder_ + "/" + scenario_.config), &config))
            throw std::runtime_error(
                folder_ + "/" + scenario_.config +
                ": not a valid configuration; 'silverreach check' lists the errors");
        return config;
    }
    void make_hosts() {
        auto deduplication_group = std::make_shared<fakes::DeduplicationGroup>();
        deduplication_group->window = scenario_.deduplication_window;
        for (const HostGroup& host_group : scenario_.hosts)
            for (int i = 0; i < host_group.count; ++i) {
                hosts_.push_back(std::make_unique<fakes::Host>(
                    loop_, host_group.settings, scenario_.seed * 1000 + hosts_.size(), records_,
                    deduplication_group,
                    [this](const std::string& key) { return plan_by_key_[key]; }));
                publish(*hosts_.back(), "HEALTHY");
            }
    }
    void publish(const fakes::Host& host, const char* state) {
        discovery_.set(host.address(), {state, host.settings().zone, host.settings().kind,
                                        host.settings().cell, host.started_unix_ms()});
    }
    void make_gateways() {
        const auto addresses = peer_addresses(scenario_.gateways);
        relay_ = std::make_unique<fakes::Relay>(loop_, addresses, scenario_.seed + 99);
        relay_->set_network(scenario_.loss, scenario_.min_delay, scenario_.max_delay);
        write_text(work_ + "/api", read_text(folder_ + "/" + scenario_.description));
        for (int i = 0; i < scenario_.gateways; ++i) {
            config::Config config = base_config_;
            config.mutable_listen()->set_address("127.0.0.1:0");
            config.mutable_api()->set_description(work_ + "/api");
            config.mutable_hosts()->clear_file();
            config.mutable_hosts()->set_discovery(fmt::format("127.0.0.1:{}", discovery_.port()));
            if (scenario_.gateways > 1) {
                auto* peers = config.mutable_peers();
                peers->set_rank(i);
                for (int k = 0; k < scenario_.gateways; ++k) {
                    auto* peer = peers->add_peer();
                    peer->set_rank(k);
                    peer->set_address(
                        k == i ? fmt::format("{}:{}", addresses[static_cast<std::size_t>(i)].first,
                                             addresses[static_cast<std::size_t>(i)].second)
                               : relay_->address(i, k));
                }
            }
            std::string text;
            google::protobuf::TextFormat::PrintToString(config, &text);
            const std::string path = fmt::format("{}/gateway-{}.textproto", work_, i);
            write_text(path, text);
            gateways_.push_back(std::make_unique<GatewayProcess>(
                program_, path, fmt::format("{}/gateway-{}.log", work_, i)));
            ports_.push_back(0);
            should_run_.push_back(false);
        }
    }

    void start_gateway(std::size_t i) {
        gateways_[i]->start();
        should_run_[i] = true;
        // The checker takes the gateway for down until it listens, as clients cannot connect
        // before.
        poll_port(i);
    }
    void poll_port(std::size_t i) {
        if (!should_run_[i]) return;
        if (const int port = gateways_[i]->port()) {
            ports_[i] = port;
            records_.add(loop_.now(), "drill", "started", {{"gateway", i}});
            return;
        }
        loop_.after(poll_interval, [this, i] { poll_port(i); });
    }
    bool all_listening() const {
        return std::all_of(ports_.begin(), ports_.end(), [](int port) { return port > 0; });
    }
    void kill_gateway(std::size_t i) {
        if (!should_run_[i]) return;
        records_.add(loop_.now(), "drill", "killed", {{"gateway", i}});
        should_run_[i] = false;
        ports_[i] = 0;
        gateways_[i]->stop(SIGKILL);
    }

    void run_after(Micros duration, std::function<void()> callback) {
        if (duration > 0us) loop_.after(duration, std::move(callback));
    }
    void perform(const ScenarioEvent& event) {
        const auto index = static_cast<std::size_t>(event.index);
        const auto after_duration = [&](auto callback) { run_after(event.duration, callback); };
        switch (event.action) {
            case ScenarioAction::kill_gateway:
                report_progress(event, fmt::format("gateway {} killed", index));
                kill_gateway(index);
                return after_duration([this, index] { start_gateway(index); });
            case ScenarioAction::start_gateway:
                return report_progress(event, fmt::format("gateway {} started", index)),
                       start_gateway(index);
            case ScenarioAction::drain_host:
                report_progress(event, fmt::format("host {} drains", index));
                publish(*hosts_[index], "DRAINING");
                return after_duration([this, index] { publish(*hosts_[index], "HEALTHY"); });
            case ScenarioAction::kill_host:
                report_progress(event, fmt::format("host {} killed", index));
                kill_host(index);
                return after_duration([this, index] { start_host(index); });
            case ScenarioAction::start_host:
                return report_progress(event, fmt::format("host {} starts cold", index)),
                       start_host(index);
            case ScenarioAction::stall_host:
                report_progress(event, fmt::format("host {} stalls", index));
                hosts_[index]->set_stalled(true);
                return after_duration([this, index] { hosts_[index]->set_stalled(false); });
            case ScenarioAction::reject_plan:
                report_progress(event,
                                fmt::format("host {} rejects plan {}", index, event.argument));
                hosts_[index]->reject_plan(event.argument);
                return after_duration([this, index] { hosts_[index]->reject_plan(""); });
            case ScenarioAction::truncate_responses:
                report_progress(event, fmt::format("host {} truncates its responses", index));
                hosts_[index]->truncate_responses(true);
                return after_duration([this, index] { hosts_[index]->truncate_responses(false); });
            case ScenarioAction::lose_zone:
            case ScenarioAction::return_zone: {
                const bool is_lost = event.action == ScenarioAction::lose_zone;
                report_progress(event,
                                fmt::format("zone {} {}", event.argument,
                                            is_lost ? "is lost" : "is restored, hosts start cold"));
                for (std::size_t i = 0; i < hosts_.size(); ++i)
                    if (hosts_[i]->settings().zone == event.argument)
                        is_lost ? kill_host(i) : start_host(i);
                return;
            }
            case ScenarioAction::set_message_loss:
                report_progress(event,
                                fmt::format("{:.0f}% of the messages are lost", event.loss * 100));
                relay_->set_network(event.loss, scenario_.min_delay, scenario_.max_delay);
                return after_duration([this] {
                    relay_->set_network(scenario_.loss, scenario_.min_delay, scenario_.max_delay);
                });
            case ScenarioAction::isolate_gateway:
                report_progress(event, fmt::format("gateway {} is cut off from its peers", index));
                relay_->isolate(event.index, true);
                return after_duration(
                    [this, index] { relay_->isolate(static_cast<int>(index), false); });
            case ScenarioAction::replace_description:
                report_progress(event, "description " + event.argument + " installed, SIGHUP sent");
                write_text(work_ + "/api", read_text(folder_ + "/" + event.argument));
                for (std::size_t i = 0; i < gateways_.size(); ++i)
                    if (should_run_[i]) gateways_[i]->signal(SIGHUP);
                return;
        }
    }
    void report_progress(const ScenarioEvent& event, const std::string& message) {
        progress_(
            fmt::format("{:6.1f} s  {}", static_cast<double>(event.at.count()) / 1e6, message));
    }
    void kill_host(std::size_t i) {
        hosts_[i]->kill();
        loop_.after(scenario_.discovery_delay, [this, i] {
            if (!hosts_[i]->running()) discovery_.remove(hosts_[i]->address());
        });
    }
    void start_host(std::size_t i) {
        if (hosts_[i]->running()) return;
        hosts_[i]->start(true);
        publish(*hosts_[i], "HEALTHY");
    }

    // Runs the loop until the time `until`, until `is_over` returns true or until an error.
    void wait_until(Micros until, std::function<bool()> is_over) {
        std::function<void()> poll = [&] {
            for (std::size_t i = 0; i < gateways_.size(); ++i)
                if (should_run_[i] && !gateways_[i]->running()) {
                    should_run_[i] = false;
                    ports_[i] = 0;
                    result_.errors.push_back(fmt::format(
                        "gateway {} ended unexpectedly; see {}/gateway-{}.log", i, work_, i));
                }
            if (loop_.now() >= until || is_over() || !result_.errors.empty()) return loop_.stop();
            loop_.after(poll_interval, poll);
        };
        loop_.after(0us, poll);
        loop_.run();
    }

    ScenarioResult finish() {
        progress_(fmt::format("messages forwarded {}, dropped {}", relay_->forwarded(),
                              relay_->dropped()));
        for (auto& gateway : gateways_)
            gateway->stop(SIGTERM);
        std::fill(should_run_.begin(), should_run_.end(), false);
        CheckSettings settings;
        settings.time_tolerance = scenario_.time_tolerance,
        settings.drain_grace = scenario_.drain_grace;
        settings.ceiling_tolerance = scenario_.ceiling_tolerance;
        settings.slow_start_window = std::chrono::milliseconds(base_config_.rules().cold_ms());
        settings.overload_window = std::chrono::milliseconds(base_config_.rules().fall_ms());
        settings.initial_capacity_share = base_config_.rules().start_capacity(),
        settings.overload_factor = base_config_.rules().fall_multiple();
        for (const auto& account : base_config_.account())
            for (const auto& plan : base_config_.plan())
                if (plan.name() == account.plan() && plan.hard_rate() > 0)
                    settings.ceilings[account.name()] = {plan.hard_rate(), plan.hard_burst()};
        result_.records = records_.all();
        result_.report = check_invariants(result_.records, settings);
        return std::move(result_);
    }

    const Scenario& scenario_;
    std::string program_, folder_, work_;
    const std::function<void(const std::string&)>& progress_;
    event::Loop loop_;
    fakes::Recorder records_;
    config::Config base_config_;
    fakes::DiscoveryServer discovery_;
    std::map<std::string, std::string> plan_by_key_;
    std::vector<std::unique_ptr<fakes::Host>> hosts_;
    std::unique_ptr<fakes::Relay> relay_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::vector<int> ports_;
    std::vector<bool> should_run_;
    std::unique_ptr<fakes::Clients> clients_;
    Micros began_at_{0};
    ScenarioResult result_;
};
}  // namespace

ScenarioResult run_scenario(const Scenario& scenario, const std::string& program,
                            const std::string& folder, const std::string& work,
                            const std::function<void(const std::string&)>& progress) {
    signal(SIGPIPE, SIG_IGN);
    return ScenarioRun(scenario, program, folder, work, progress).run();
}

}  // namespace silverreach::scenario

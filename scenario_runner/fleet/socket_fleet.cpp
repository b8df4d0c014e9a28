#include "scenario_runner/fleet/socket_fleet.h"

#include <fmt/format.h>
#include <google/protobuf/text_format.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <memory>
#include <utility>

#include "config/config.h"
#include "fakes/client.h"
#include "fakes/host.h"
#include "fakes/relay.h"
#include "scenario_runner/fleet/arrivals.h"
#include "scenario_runner/gateway_process.h"

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
constexpr Micros poll_interval = 5ms, start_timeout = 30s, settle_time = 500ms;
constexpr std::string_view api_description =
    "openapi: 3.0.3\n"
    "info: {title: fleet, version: '1'}\n"
    "components: {securitySchemes: {key: {type: apiKey, in: header, name: X-Api-Key}}}\n"
    "security: [{key: []}]\n"
    "x-silverreach-class: read\n"
    "x-silverreach-units: 1\n"
    "paths: {/tally: {get: {responses: {'200': {description: counted}}}}}\n";

class SocketFleet {
  public:
    SocketFleet(const FleetScenario& scenario, const std::string& program, std::string work)
        : scenario_(scenario), work_(std::move(work)), arrivals_(scenario) {
        if (scenario.instances > 100)
            throw std::runtime_error(scenario.name +
                                     ": at most 100 instances on sockets; use --virtual");
        fakes::HostSettings host_settings;
        host_settings.model.cores = 64, host_settings.model.queue_limit = 4096;
        host_settings.mean_work = scenario.service_time;
        auto deduplication_group = std::make_shared<fakes::DeduplicationGroup>();
        for (int i = 0; i < scenario.hosts; ++i)
            hosts_.push_back(std::make_unique<fakes::Host>(
                loop_, host_settings, scenario.seed + static_cast<std::uint64_t>(i), records_,
                deduplication_group, [](const std::string&) { return ""; }));
        make_gateways(program);
        clients_ = std::make_unique<fakes::Clients>(loop_, scenario.seed, records_,
                                                    [this] { return ports_; });
        for (int i = 0; i < scenario.accounts; ++i) {
            fakes::Flow flow;
            flow.account = account_name(i), flow.key = "key-" + std::to_string(i),
            flow.target = "/tally";
            flow.deadline = scenario.deadline;
            flows_.push_back(std::move(flow));
        }
    }

    FleetResult run() {
        for (auto& gateway : gateways_)
            gateway->start();
        poll_ports();
        wait_until(loop_.now() + start_timeout, [this] { return all_listening(); });
        if (!all_listening())
            result_.errors.push_back("a gateway did not start; see its log in " + work_);
        wait_until(loop_.now() + settle_time, [] { return false; });
        began_at_ = loop_.now();
        for (const FleetFault& fault : scenario_.faults)
            schedule_fault(fault);
        if (result_.errors.empty()) schedule_arrival();
        wait_until(began_at_ + scenario_.duration, [this] { return !result_.errors.empty(); });
        wait_until(loop_.now() + scenario_.deadline + 1s,
                   [this] { return clients_->in_flight() == 0; });
        for (auto& gateway : gateways_)
            gateway->stop(SIGTERM), result_.traffic.cpu_s += gateway->cpu_s();
        if (relay_)
            result_.traffic.messages = relay_->forwarded() + relay_->dropped(),
            result_.traffic.bytes = relay_->bytes();
        read_records();
        return std::move(result_);
    }

  private:
    void make_gateways(const std::string& program) {
        write_text(work_ + "/api", std::string(api_description));
        std::string hosts;
        for (const auto& host : hosts_) {
            const std::string& address = host->address();
            const std::size_t colon = address.rfind(':');
            hosts += fmt::format(
                "{}{{\"endpoint\":{{\"address\":{{\"socketAddress\":{{\"address\":\"{}\","
                "\"portValue\":{}}}}}"
                "}}}}",
                hosts.empty() ? "" : ",", address.substr(0, colon), address.substr(colon + 1));
        }
        write_text(work_ + "/hosts",
                   R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[)" + hosts + "]}]}");
        const auto peer_endpoints = peer_addresses(scenario_.instances);
        if (scenario_.instances > 1) {
            relay_ = std::make_unique<fakes::Relay>(loop_, peer_endpoints, scenario_.seed);
            reset_network();
        }
        for (int i = 0; i < scenario_.instances; ++i) {
            const std::string path = fmt::format("{}/gateway-{}.textproto", work_, i);
            std::string text;
            google::protobuf::TextFormat::PrintToString(make_config(i, peer_endpoints), &text);
            write_text(path, text);
            gateways_.push_back(std::make_unique<GatewayProcess>(
                program, path, fmt::format("{}/gateway-{}.log", work_, i)));
            ports_.push_back(0);
            is_down_.push_back(false);
        }
    }
    config::Config make_config(
        int rank, const std::vector<std::pair<std::string, int>>& peer_endpoints) const {
        config::Config config;
        config.set_fleet("fleet-drill");
        config.mutable_listen()->set_address("127.0.0.1:0");
        config.mutable_api()->set_description(work_ + "/api");
        config.mutable_hosts()->set_file(work_ + "/hosts");
        config.mutable_log()->set_level(config::Log::ERROR);
        auto* read = config.add_class_();
        read->set_name("read");
        read->set_aim_ms(scenario_.latency_objective.count() / 1000);
        read->set_deadline_ms(scenario_.deadline.count() / 1000);
        auto* plan = config.add_plan();
        plan->set_name("plan");
        plan->set_rate(scenario_.quota), plan->set_burst(effective_burst(scenario_));
        plan->set_hard_rate(scenario_.ceiling), plan->set_hard_burst(scenario_.ceiling_burst);
        for (int i = 0; i < scenario_.accounts; ++i) {
            auto* account = config.add_account();
            account->set_name(account_name(i));
            account->set_plan("plan");
            account->add_key("key-" + std::to_string(i));
        }
        if (scenario_.instances == 1) return config;
        auto* peers = config.mutable_peers();
        peers->set_rank(rank);
        if (scenario_.peer_messages_per_second > 0)
            peers->set_messages_per_s(scenario_.peer_messages_per_second);
        for (int k = 0; k < scenario_.instances; ++k) {
            auto* peer = peers->add_peer();
            peer->set_rank(k);
            peer->set_address(
                k == rank ? fmt::format("{}:{}", peer_endpoints[static_cast<std::size_t>(k)].first,
                                        peer_endpoints[static_cast<std::size_t>(k)].second)
                          : relay_->address(rank, k));
        }
        return config;
    }
    void reset_network() {
        relay_->set_network(scenario_.loss, scenario_.min_delay, scenario_.max_delay);
    }

    bool all_listening() const {
        return std::all_of(ports_.begin(), ports_.end(), [](int port) { return port > 0; });
    }
    void poll_ports() {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (is_down_[i]) continue;
            if (!gateways_[i]->running())
                result_.errors.push_back(fmt::format(
                    "gateway {} ended unexpectedly; see {}/gateway-{}.log", i, work_, i));
            ports_[i] = gateways_[i]->port();
        }
        if (!result_.errors.empty()) return loop_.stop();
        loop_.after(poll_interval, [this] { poll_ports(); });
    }
    void wait_until(Micros until, std::function<bool()> is_over) {
        std::function<void()> poll = [&] {
            if (loop_.now() >= until || is_over() || !result_.errors.empty()) return loop_.stop();
            loop_.after(poll_interval, poll);
        };
        loop_.after(0us, poll);
        loop_.run();
    }

    void schedule_arrival() {
        next_arrival_ = arrivals_.next();
        if (next_arrival_.at >= scenario_.duration) return;
        loop_.after(began_at_ + next_arrival_.at - loop_.now(), [this] {
            // Clients use the next instance where one is down.
            int rank = next_arrival_.instance;
            for (int tried = 0;
                 ports_[static_cast<std::size_t>(rank)] == 0 && tried < scenario_.instances;
                 ++tried)
                rank = (rank + 1) % scenario_.instances;
            clients_->send_one(flows_[static_cast<std::size_t>(next_arrival_.account)], rank);
            schedule_arrival();
        });
    }
    void kill(int i, Micros duration) {
        const auto index = static_cast<std::size_t>(i);
        is_down_[index] = true, ports_[index] = 0;
        gateways_[index]->stop(SIGKILL);
        loop_.after(duration, [this, index] {
            gateways_[index]->start();
            is_down_[index] = false;
        });
    }
    void schedule_fault(const FleetFault& fault) {
        const int rank = fault.instance < 0 ? first_account_owner(scenario_) : fault.instance;
        const auto schedule = [this](Micros when, std::function<void()> callback) {
            loop_.after(when, std::move(callback));
        };
        auto& process = gateways_[static_cast<std::size_t>(rank)];
        switch (fault.kind) {
            case FaultKind::kill:
                return schedule(fault.at, [this, rank, fault] { kill(rank, fault.duration); });
            case FaultKind::stall:
                schedule(fault.at, [&process] { process->signal(SIGSTOP); });
                return schedule(fault.at + fault.duration,
                                [&process] { process->signal(SIGCONT); });
            case FaultKind::partition:
                schedule(fault.at, [this] { relay_->partition(true); });
                return schedule(fault.at + fault.duration, [this] { relay_->partition(false); });
            case FaultKind::lose:
                schedule(fault.at, [this, fault] {
                    relay_->set_network(fault.loss, scenario_.min_delay, scenario_.max_delay);
                });
                return schedule(fault.at + fault.duration, [this] { reset_network(); });
            case FaultKind::restart_all:
                for (int i = 0; i < scenario_.instances; ++i)
                    schedule(fault.at + i * fault.duration,
                             [this, i, fault] { kill(i, fault.duration); });
        }
    }

    // Joins the records of clients and hosts by request id.
    void read_records() {
        std::map<std::string, FleetRequest> requests;
        std::map<std::string, int> account_numbers;
        for (int i = 0; i < scenario_.accounts; ++i)
            account_numbers[account_name(i)] = i;
        for (const auto& record : records_.all()) {
            const auto id = record.find("id");
            if (id == record.end()) continue;
            const Micros time = Micros(record.at("t").get<std::int64_t>()) - began_at_;
            const auto& what = record.at("what").get_ref<const std::string&>();
            FleetRequest& request = requests[id->get<std::string>()];
            if (record.at("who") == "host") {
                if (what == "received" && request.received_at < 0us) request.received_at = time;
            } else if (what == "sent") {
                request.sent_at = time,
                request.account = account_numbers[record.at("account").get<std::string>()];
                request.instance = record.at("gateway").get<int>();
            } else if (what == "answer") {
                const int status = record.at("status").get<int>();
                const auto reason = record.at("reason").get<std::string>();
                request.ended_at = time;
                request.outcome = status == 200                    ? RequestOutcome::served
                                  : reason == "quota"              ? RequestOutcome::quota
                                  : reason == "ceiling"            ? RequestOutcome::ceiling
                                  : status == 429 || status == 503 ? RequestOutcome::rejected
                                                                   : RequestOutcome::failed;
            } else if (what == "unreached" || what == "broken" || what == "gave_up") {
                request.ended_at = time, request.outcome = RequestOutcome::failed;
            }
        }
        for (auto& [id, request] : requests)
            result_.requests.push_back(request);
    }

    const FleetScenario& scenario_;
    std::string work_;
    event::Loop loop_;
    fakes::Recorder records_;
    Arrivals arrivals_;
    Arrival next_arrival_;
    std::vector<std::unique_ptr<fakes::Host>> hosts_;
    std::unique_ptr<fakes::Relay> relay_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::vector<int> ports_;
    std::vector<bool> is_down_;
    std::vector<fakes::Flow> flows_;
    std::unique_ptr<fakes::Clients> clients_;
    Micros began_at_{0};
    FleetResult result_;
};
}  // namespace

FleetResult run_fleet_on_sockets(const FleetScenario& scenario, const std::string& program,
                                 const std::string& work) {
    signal(SIGPIPE, SIG_IGN);
    return SocketFleet(scenario, program, work).run();
}

}  // namespace silverreach::scenario

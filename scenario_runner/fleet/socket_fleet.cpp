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
constexpr Micros look_period = 5ms, start_due = 30s, settle = 500ms;
constexpr std::string_view description =
    "openapi: 3.0.3\n"
    "info: {title: fleet, version: '1'}\n"
    "components: {securitySchemes: {key: {type: apiKey, in: header, name: X-Api-Key}}}\n"
    "security: [{key: []}]\n"
    "x-silverreach-class: read\n"
    "x-silverreach-units: 1\n"
    "paths: {/tally: {get: {responses: {'200': {description: counted}}}}}\n";

class SocketDay {
  public:
    SocketDay(const FleetDay& day, const std::string& program, std::string work)
        : day_(day), work_(std::move(work)), arrivals_(day) {
        if (day.instances > 100)
            throw std::runtime_error(day.name + ": sockets carry 100 instances; use --virtual");
        fakes::HostSettings host;
        host.tally.cores = 64, host.tally.room = 4096;
        host.mean_work = day.host_time;
        auto group = std::make_shared<fakes::Group>();
        for (int i = 0; i < day.hosts; ++i)
            hosts_.push_back(std::make_unique<fakes::Host>(
                loop_, host, day.seed + static_cast<std::uint64_t>(i), records_, group,
                [](const std::string&) { return ""; }));
        make_gateways(program);
        clients_ =
            std::make_unique<fakes::Clients>(loop_, day.seed, records_, [this] { return ports_; });
        for (int i = 0; i < day.accounts; ++i) {
            fakes::Flow flow;
            flow.account = account_name(i), flow.key = "key-" + std::to_string(i),
            flow.target = "/tally";
            flow.deadline = day.deadline;
            flows_.push_back(std::move(flow));
        }
    }

    FleetResult run() {
        for (auto& g : gateways_)
            g->start();
        look_for_ports();
        wait_until(loop_.now() + start_due, [this] { return listening(); });
        if (!listening())
            result_.troubles.push_back("a gateway did not start; see its log in " + work_);
        wait_until(loop_.now() + settle, [] { return false; });
        begin_ = loop_.now();
        for (const FleetTrouble& t : day_.troubles)
            plan(t);
        if (result_.troubles.empty()) arrive();
        wait_until(begin_ + day_.length, [this] { return !result_.troubles.empty(); });
        wait_until(loop_.now() + day_.deadline + 1s, [this] { return clients_->waiting() == 0; });
        for (auto& g : gateways_)
            g->stop(SIGTERM), result_.traffic.cpu_s += g->cpu_s();
        if (relay_)
            result_.traffic.messages = relay_->carried() + relay_->lost(),
            result_.traffic.bytes = relay_->bytes();
        read_records();
        return std::move(result_);
    }

  private:
    void make_gateways(const std::string& program) {
        write_text(work_ + "/api", std::string(description));
        std::string hosts;
        for (const auto& host : hosts_) {
            const std::string& at = host->address();
            const std::size_t colon = at.rfind(':');
            hosts += fmt::format(
                "{}{{\"endpoint\":{{\"address\":{{\"socketAddress\":{{\"address\":\"{}\","
                "\"portValue\":{}}}}}"
                "}}}}",
                hosts.empty() ? "" : ",", at.substr(0, colon), at.substr(colon + 1));
        }
        write_text(work_ + "/hosts",
                   R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[)" + hosts + "]}]}");
        const auto own = peer_addresses(day_.instances);
        if (day_.instances > 1) {
            relay_ = std::make_unique<fakes::Relay>(loop_, own, day_.seed);
            calm();
        }
        for (int i = 0; i < day_.instances; ++i) {
            const std::string path = fmt::format("{}/gateway-{}.textproto", work_, i);
            std::string text;
            google::protobuf::TextFormat::PrintToString(config_of(i, own), &text);
            write_text(path, text);
            gateways_.push_back(std::make_unique<GatewayProcess>(
                program, path, fmt::format("{}/gateway-{}.log", work_, i)));
            ports_.push_back(0);
            away_.push_back(false);
        }
    }
    config::Config config_of(int rank, const std::vector<std::pair<std::string, int>>& own) const {
        config::Config c;
        c.set_fleet("fleet-drill");
        c.mutable_listen()->set_address("127.0.0.1:0");
        c.mutable_api()->set_description(work_ + "/api");
        c.mutable_hosts()->set_file(work_ + "/hosts");
        c.mutable_log()->set_level(config::Log::ERROR);
        auto* read = c.add_class_();
        read->set_name("read");
        read->set_aim_ms(day_.aim.count() / 1000);
        read->set_deadline_ms(day_.deadline.count() / 1000);
        auto* plan = c.add_plan();
        plan->set_name("plan");
        plan->set_rate(day_.quota), plan->set_burst(burst_of(day_));
        plan->set_hard_rate(day_.ceiling), plan->set_hard_burst(day_.ceiling_burst);
        for (int i = 0; i < day_.accounts; ++i) {
            auto* account = c.add_account();
            account->set_name(account_name(i));
            account->set_plan("plan");
            account->add_key("key-" + std::to_string(i));
        }
        if (day_.instances == 1) return c;
        auto* fleet = c.mutable_peers();
        fleet->set_rank(rank);
        if (day_.messages_per_s > 0) fleet->set_messages_per_s(day_.messages_per_s);
        for (int k = 0; k < day_.instances; ++k) {
            auto* peer = fleet->add_peer();
            peer->set_rank(k);
            peer->set_address(k == rank
                                  ? fmt::format("{}:{}", own[static_cast<std::size_t>(k)].first,
                                                own[static_cast<std::size_t>(k)].second)
                                  : relay_->address(rank, k));
        }
        return c;
    }
    void calm() { relay_->set(day_.loss, day_.least_delay, day_.most_delay); }

    bool listening() const {
        return std::all_of(ports_.begin(), ports_.end(), [](int p) { return p > 0; });
    }
    void look_for_ports() {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (away_[i]) continue;
            if (!gateways_[i]->running())
                result_.troubles.push_back(
                    fmt::format("gateway {} ended by itself; see {}/gateway-{}.log", i, work_, i));
            ports_[i] = gateways_[i]->port();
        }
        if (!result_.troubles.empty()) return loop_.stop();
        loop_.after(look_period, [this] { look_for_ports(); });
    }
    void wait_until(Micros until, std::function<bool()> over) {
        std::function<void()> look = [&] {
            if (loop_.now() >= until || over() || !result_.troubles.empty()) return loop_.stop();
            loop_.after(look_period, look);
        };
        loop_.after(0us, look);
        loop_.run();
    }

    void arrive() {
        next_ = arrivals_.next();
        if (next_.at >= day_.length) return;
        loop_.after(begin_ + next_.at - loop_.now(), [this] {
            // Clients go on to the next instance where one is down.
            int at = next_.instance;
            for (int tried = 0; ports_[static_cast<std::size_t>(at)] == 0 && tried < day_.instances;
                 ++tried)
                at = (at + 1) % day_.instances;
            clients_->ask(flows_[static_cast<std::size_t>(next_.account)], at);
            arrive();
        });
    }
    void kill(int i, Micros span) {
        const auto which = static_cast<std::size_t>(i);
        away_[which] = true, ports_[which] = 0;
        gateways_[which]->stop(SIGKILL);
        loop_.after(span, [this, which] {
            gateways_[which]->start();
            away_[which] = false;
        });
    }
    void plan(const FleetTrouble& t) {
        const int who = t.instance < 0 ? home_of_first(day_) : t.instance;
        const auto at = [this](Micros when, std::function<void()> call) {
            loop_.after(when, std::move(call));
        };
        auto& process = gateways_[static_cast<std::size_t>(who)];
        switch (t.kind) {
            case Trouble::kill:
                return at(t.at, [this, who, t] { kill(who, t.span); });
            case Trouble::stall:
                at(t.at, [&process] { process->signal(SIGSTOP); });
                return at(t.at + t.span, [&process] { process->signal(SIGCONT); });
            case Trouble::partition:
                at(t.at, [this] { relay_->part(true); });
                return at(t.at + t.span, [this] { relay_->part(false); });
            case Trouble::lose:
                at(t.at, [this, t] { relay_->set(t.loss, day_.least_delay, day_.most_delay); });
                return at(t.at + t.span, [this] { calm(); });
            case Trouble::restart_all:
                for (int i = 0; i < day_.instances; ++i)
                    at(t.at + i * t.span, [this, i, t] { kill(i, t.span); });
        }
    }

    // Clients and hosts wrote down what passed; a try is found again by its id.
    void read_records() {
        std::map<std::string, FleetTry> tries;
        std::map<std::string, int> accounts;
        for (int i = 0; i < day_.accounts; ++i)
            accounts[account_name(i)] = i;
        for (const auto& r : records_.all()) {
            const auto id = r.find("id");
            if (id == r.end()) continue;
            const Micros t = Micros(r.at("t").get<std::int64_t>()) - begin_;
            const auto& what = r.at("what").get_ref<const std::string&>();
            FleetTry& one = tries[id->get<std::string>()];
            if (r.at("who") == "host") {
                if (what == "received" && one.at_host < 0us) one.at_host = t;
            } else if (what == "sent") {
                one.sent = t, one.account = accounts[r.at("account").get<std::string>()];
                one.instance = r.at("gateway").get<int>();
            } else if (what == "answer") {
                const int status = r.at("status").get<int>();
                const auto why = r.at("reason").get<std::string>();
                one.ended = t;
                one.ending = status == 200                    ? Ending::served
                             : why == "quota"                 ? Ending::quota
                             : why == "ceiling"               ? Ending::ceiling
                             : status == 429 || status == 503 ? Ending::refused
                                                              : Ending::failed;
            } else if (what == "unreached" || what == "broken" || what == "gave_up") {
                one.ended = t, one.ending = Ending::failed;
            }
        }
        for (auto& [id, one] : tries)
            result_.tries.push_back(one);
    }

    const FleetDay& day_;
    std::string work_;
    event::Loop loop_;
    fakes::Recorder records_;
    Arrivals arrivals_;
    Arrival next_;
    std::vector<std::unique_ptr<fakes::Host>> hosts_;
    std::unique_ptr<fakes::Relay> relay_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::vector<int> ports_;
    std::vector<bool> away_;
    std::vector<fakes::Flow> flows_;
    std::unique_ptr<fakes::Clients> clients_;
    Micros begin_{0};
    FleetResult result_;
};
}  // namespace

FleetResult play_sockets(const FleetDay& day, const std::string& program, const std::string& work) {
    signal(SIGPIPE, SIG_IGN);
    return SocketDay(day, program, work).run();
}

}  // namespace silverreach::scenario

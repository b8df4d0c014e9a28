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
constexpr Micros look_period = 5ms, start_due = 20s, end_wait = 10s;

std::string read_text(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": cannot be read");
    return text.str();
}
class Day {
  public:
    Day(const Scenario& s, std::string program, std::string folder, const std::string& work,
        const std::function<void(const std::string&)>& progress)
        : s_(s),
          program_(std::move(program)),
          folder_(std::move(folder)),
          work_(work),
          progress_(progress),
          records_(work + "/records.jsonl"),
          base_(read_config()),
          roster_(loop_, base_.hosts().cluster(), Micros(0), records_) {
        for (const auto& a : base_.account())
            for (const std::string& key : a.key())
                plan_of_[key] = a.plan();
        make_hosts();
        make_gateways();
        clients_ = std::make_unique<fakes::Clients>(loop_, s.seed * 31 + 7, records_,
                                                    [this] { return ports_; });
    }

    DayResult run() {
        for (std::size_t i = 0; i < gateways_.size(); ++i)
            start_gateway(i);
        wait_until(loop_.now() + start_due, [this] { return all_listening(); });
        if (!all_listening()) {
            result_.troubles.push_back("a gateway did not start; see its log in " + work_);
            return finish();
        }
        wait_until(loop_.now() + s_.settle, [] { return false; });
        begin_ = loop_.now();
        progress_(fmt::format("{} gateways, {} hosts; {:.0f} s of clients begin", gateways_.size(),
                              hosts_.size(), static_cast<double>(s_.length.count()) / 1e6));
        for (const fakes::Flow& flow : s_.flows)
            clients_->run(flow, s_.length);
        for (const Happening& h : s_.happenings)
            loop_.after(h.at, [this, &h] { happen(h); });
        wait_until(begin_ + s_.length, [] { return false; });
        wait_until(loop_.now() + end_wait, [this] { return clients_->waiting() == 0; });
        return finish();
    }

  private:
    config::Config read_config() const {
        config::Config c;
        google::protobuf::TextFormat::Parser parser;
        parser.AllowPartialMessage(true);
        if (!parser.ParseFromString(read_text(folder_ + "/" + s_.config), &c))
            throw std::runtime_error(folder_ + "/" + s_.config +
                                     ": no valid configuration; 'silverreach check' tells more");
        return c;
    }
    void make_hosts() {
        auto group = std::make_shared<fakes::Group>();
        group->window = s_.repeat_window;
        for (const HostGroup& g : s_.hosts)
            for (int i = 0; i < g.count; ++i) {
                hosts_.push_back(std::make_unique<fakes::Host>(
                    loop_, g.settings, s_.seed * 1000 + hosts_.size(), records_, group,
                    [this](const std::string& key) { return plan_of_[key]; }));
                list(*hosts_.back(), "HEALTHY");
            }
    }
    void list(const fakes::Host& host, const char* state) {
        roster_.set(host.address(), {state, host.settings().zone, host.settings().kind,
                                     host.settings().cell, host.started_unix_ms()});
    }
    void make_gateways() {
        const auto own = peer_addresses(s_.gateways);
        relay_ = std::make_unique<fakes::Relay>(loop_, own, s_.seed + 99);
        relay_->set(s_.loss, s_.least_delay, s_.most_delay);
        write_text(work_ + "/api", read_text(folder_ + "/" + s_.description));
        for (int i = 0; i < s_.gateways; ++i) {
            config::Config c = base_;
            c.mutable_listen()->set_address("127.0.0.1:0");
            c.mutable_api()->set_description(work_ + "/api");
            c.mutable_hosts()->clear_file();
            c.mutable_hosts()->set_discovery(fmt::format("127.0.0.1:{}", roster_.port()));
            if (s_.gateways > 1) {
                auto* fleet = c.mutable_peers();
                fleet->set_rank(i);
                for (int k = 0; k < s_.gateways; ++k) {
                    auto* peer = fleet->add_peer();
                    peer->set_rank(k);
                    peer->set_address(k == i ? fmt::format("{}:{}",
                                                           own[static_cast<std::size_t>(i)].first,
                                                           own[static_cast<std::size_t>(i)].second)
                                             : relay_->address(i, k));
                }
            }
            std::string text;
            google::protobuf::TextFormat::PrintToString(c, &text);
            const std::string path = fmt::format("{}/gateway-{}.textproto", work_, i);
            write_text(path, text);
            gateways_.push_back(std::make_unique<GatewayProcess>(
                program_, path, fmt::format("{}/gateway-{}.log", work_, i)));
            ports_.push_back(0);
            wanted_.push_back(false);
        }
    }

    void start_gateway(std::size_t i) {
        gateways_[i]->start();
        wanted_[i] = true;
        // Not "up" for the judge before it listens; until then clients find nobody.
        look_for_port(i);
    }
    void look_for_port(std::size_t i) {
        if (!wanted_[i]) return;
        if (const int port = gateways_[i]->port()) {
            ports_[i] = port;
            records_.add(loop_.now(), "drill", "started", {{"gateway", i}});
            return;
        }
        loop_.after(look_period, [this, i] { look_for_port(i); });
    }
    bool all_listening() const {
        return std::all_of(ports_.begin(), ports_.end(), [](int p) { return p > 0; });
    }
    void kill_gateway(std::size_t i) {
        if (!wanted_[i]) return;
        records_.add(loop_.now(), "drill", "killed", {{"gateway", i}});
        wanted_[i] = false;
        ports_[i] = 0;
        gateways_[i]->stop(SIGKILL);
    }

    void later(Micros span, std::function<void()> call) {
        if (span > 0us) loop_.after(span, std::move(call));
    }
    void happen(const Happening& h) {
        const auto which = static_cast<std::size_t>(h.which);
        const auto after = [&](auto call) { later(h.span, call); };
        switch (h.deed) {
            case Deed::kill_gateway:
                say(h, fmt::format("gateway {} killed", which));
                kill_gateway(which);
                return after([this, which] { start_gateway(which); });
            case Deed::start_gateway:
                return say(h, fmt::format("gateway {} started", which)), start_gateway(which);
            case Deed::drain_host:
                say(h, fmt::format("host {} drains", which));
                list(*hosts_[which], "DRAINING");
                return after([this, which] { list(*hosts_[which], "HEALTHY"); });
            case Deed::kill_host:
                say(h, fmt::format("host {} dies", which));
                kill_host(which);
                return after([this, which] { start_host(which); });
            case Deed::start_host:
                return say(h, fmt::format("host {} starts cold", which)), start_host(which);
            case Deed::stall_host:
                say(h, fmt::format("host {} stalls", which));
                hosts_[which]->stall(true);
                return after([this, which] { hosts_[which]->stall(false); });
            case Deed::refuse_plan:
                say(h, fmt::format("host {} turns plan {} away", which, h.text));
                hosts_[which]->refuse_plan(h.text);
                return after([this, which] { hosts_[which]->refuse_plan(""); });
            case Deed::cut_answers:
                say(h, fmt::format("host {} ends its answers in the middle", which));
                hosts_[which]->cut_answers(true);
                return after([this, which] { hosts_[which]->cut_answers(false); });
            case Deed::lose_zone:
            case Deed::return_zone: {
                const bool lose = h.deed == Deed::lose_zone;
                say(h, fmt::format("zone {} {}", h.text, lose ? "is lost" : "is back, cold"));
                for (std::size_t i = 0; i < hosts_.size(); ++i)
                    if (hosts_[i]->settings().zone == h.text) lose ? kill_host(i) : start_host(i);
                return;
            }
            case Deed::messages:
                say(h, fmt::format("{:.0f}% of the messages are lost", h.loss * 100));
                relay_->set(h.loss, s_.least_delay, s_.most_delay);
                return after([this] { relay_->set(s_.loss, s_.least_delay, s_.most_delay); });
            case Deed::cut_gateway:
                say(h, fmt::format("gateway {} is cut off from its peers", which));
                relay_->cut(h.which, true);
                return after([this, which] { relay_->cut(static_cast<int>(which), false); });
            case Deed::describe:
                say(h, "description " + h.text + " given, SIGHUP");
                write_text(work_ + "/api", read_text(folder_ + "/" + h.text));
                for (std::size_t i = 0; i < gateways_.size(); ++i)
                    if (wanted_[i]) gateways_[i]->signal(SIGHUP);
                return;
        }
    }
    void say(const Happening& h, const std::string& what) {
        progress_(fmt::format("{:6.1f} s  {}", static_cast<double>(h.at.count()) / 1e6, what));
    }
    void kill_host(std::size_t i) {
        hosts_[i]->kill();
        loop_.after(s_.roster_lag, [this, i] {
            if (!hosts_[i]->running()) roster_.remove(hosts_[i]->address());
        });
    }
    void start_host(std::size_t i) {
        if (hosts_[i]->running()) return;
        hosts_[i]->start(true);
        list(*hosts_[i], "HEALTHY");
    }

    // Runs the loop until the time or until `over`.
    void wait_until(Micros until, std::function<bool()> over) {
        std::function<void()> look = [&] {
            for (std::size_t i = 0; i < gateways_.size(); ++i)
                if (wanted_[i] && !gateways_[i]->running()) {
                    wanted_[i] = false;
                    ports_[i] = 0;
                    result_.troubles.push_back(fmt::format(
                        "gateway {} ended by itself; see {}/gateway-{}.log", i, work_, i));
                }
            if (loop_.now() >= until || over() || !result_.troubles.empty()) return loop_.stop();
            loop_.after(look_period, look);
        };
        loop_.after(0us, look);
        loop_.run();
    }

    DayResult finish() {
        progress_(fmt::format("messages carried {}, lost {}", relay_->carried(), relay_->lost()));
        for (auto& g : gateways_)
            g->stop(SIGTERM);
        std::fill(wanted_.begin(), wanted_.end(), false);
        Terms terms;
        terms.slack = s_.slack, terms.drain_grace = s_.drain_grace;
        terms.ceiling_slack = s_.ceiling_slack;
        terms.cold = std::chrono::milliseconds(base_.rules().cold_ms());
        terms.fall_time = std::chrono::milliseconds(base_.rules().fall_ms());
        terms.start_capacity = base_.rules().start_capacity(),
        terms.fall_multiple = base_.rules().fall_multiple();
        for (const auto& account : base_.account())
            for (const auto& plan : base_.plan())
                if (plan.name() == account.plan() && plan.hard_rate() > 0)
                    terms.ceilings[account.name()] = {plan.hard_rate(), plan.hard_burst()};
        result_.records = records_.all();
        result_.verdict = judge(result_.records, terms);
        return std::move(result_);
    }

    const Scenario& s_;
    std::string program_, folder_, work_;
    const std::function<void(const std::string&)>& progress_;
    event::Loop loop_;
    fakes::Recorder records_;
    config::Config base_;
    fakes::DiscoveryServer roster_;
    std::map<std::string, std::string> plan_of_;
    std::vector<std::unique_ptr<fakes::Host>> hosts_;
    std::unique_ptr<fakes::Relay> relay_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::vector<int> ports_;
    std::vector<bool> wanted_;
    std::unique_ptr<fakes::Clients> clients_;
    Micros begin_{0};
    DayResult result_;
};
}  // namespace

DayResult play(const Scenario& scenario, const std::string& program, const std::string& folder,
               const std::string& work, const std::function<void(const std::string&)>& progress) {
    signal(SIGPIPE, SIG_IGN);
    return Day(scenario, program, folder, work, progress).run();
}

}  // namespace silverreach::scenario

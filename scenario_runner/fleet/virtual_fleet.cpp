#include "scenario_runner/fleet/virtual_fleet.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>

#include "core/request_coordinator.h"
#include "scenario_runner/fleet/arrivals.h"

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
constexpr Micros way_to_host = 50us;  // one way, client to gateway and gateway to host
constexpr Micros start{1'000'000};    // clocks do not begin at 0

class Simulation {
  public:
    Simulation(const FleetDay& day, double messages_default)
        : day_(day), random_(day.seed), arrivals_(day) {
        const auto n = static_cast<std::size_t>(day.instances);
        settings_.instance_count = day.instances;
        settings_.classes = {{"safe", Idempotency::idempotent, DeduplicationScope::all, day.aim,
                              day.deadline, 0us, 1, 0}};
        settings_.plans = {
            {"plan", day.quota, burst_of(day), 0, 1, 0, 0, day.ceiling, day.ceiling_burst}};
        settings_.may_message_peers = day.instances > 1;
        settings_.may_send_retry_after = true;
        settings_.peer_messages_per_second =
            day.messages_per_s > 0 ? day.messages_per_s : messages_default;
        settings_.timer_tick = 4ms;
        for (std::size_t i = 0; i < n; ++i)
            nodes_.push_back(std::make_unique<Node>(*this, static_cast<int>(i)));
    }

    FleetResult run() {
        for (auto& node : nodes_)
            node->begin();
        for (const FleetTrouble& t : day_.troubles)
            plan(t);
        arrive();
        while (!events_.empty() && events_.top().at <= start + day_.length + day_.deadline + 1s) {
            Event e = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = e.at;
            e.call();
        }
        result_.tries = std::move(tries_);
        return std::move(result_);
    }

  private:
    struct Event {
        Micros at;
        std::uint64_t order;
        std::function<void()> call;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct Node : core::Environment {
        Node(Simulation& s, int r) : sim(s), rank(r) {}
        void begin() {
            Settings settings = sim.settings_;
            settings.rank = rank;
            ++life;
            stalled_until = 0us;
            own.clear();
            core = std::make_unique<core::RequestCoordinator>(settings, 0, sim.random_(), sim.now_,
                                                              *this);
            EndpointsChanged list{true, {}};
            for (int h = 0; h < sim.day_.hosts; ++h)
                list.endpoints.push_back({"10.0.0." + std::to_string(h + 1) + ":80", "", "", 0,
                                          EndpointStatus::available, 1, 0us});
            core->on_endpoints_changed(sim.now_, list);
        }
        // What comes to an instance that stands still waits until it goes on.
        template <typename Call>
        void when_awake(Call call) {
            if (!core) return;
            if (sim.now_ >= stalled_until) return call();
            sim.at(stalled_until, [this, l = life, call = std::move(call)] {
                if (l == life && core) call();
            });
        }
        void start_timer(Micros from_now, core::Timer timer) override {
            sim.at(sim.now_ + from_now, [this, l = life, timer] {
                if (l == life) when_awake([this, timer] { core->on_timer(sim.now_, timer); });
            });
        }
        void send_attempt(const core::AttemptKey& key, const std::string& host, Micros) override {
            const Micros sent = sim.now_;
            const auto found = own.find(key.request);
            if (found != own.end()) {
                FleetTry& t = sim.tries_[found->second];
                if (t.at_host < 0us) t.at_host = sent + way_to_host - start;
            }
            const Micros took = sim.host_time() + 2 * way_to_host;
            sim.at(sent + took, [this, l = life, key, host, took] {
                if (l == life)
                    when_awake([this, key, host, took] {
                        if (core->on_response_started(sim.now_, key, host, took, {})) {
                            core->on_response_ended(sim.now_, key.request, true);
                            ended(key.request, Ending::served);
                        }
                    });
            });
        }
        void cancel_attempt(const core::AttemptKey&) override {}
        bool withdraw_attempt(const core::AttemptKey&) override { return false; }
        void start_health_check(const std::string&) override {}
        void send_peer_message(int to, const std::string& bytes) override {
            for (int i = 0; i < sim.day_.instances; ++i)
                if (i != rank && (to < 0 || to == i)) sim.carry(rank, i, bytes);
        }
        void finish_request(RequestId id, const core::FinalResponse& answer) override {
            ended(id, !answer.rejected                                        ? Ending::failed
                      : answer.reject_reason == RejectReason::quota_exhausted ? Ending::quota
                      : answer.reject_reason == RejectReason::ceiling_reached ? Ending::ceiling
                                                                              : Ending::refused);
        }
        void abort_response(RequestId id) override { ended(id, Ending::failed); }
        void ended(RequestId id, Ending ending) {
            const auto it = own.find(id);
            if (it == own.end()) return;
            FleetTry& t = sim.tries_[it->second];
            t.ending = ending, t.ended = sim.now_ + way_to_host - start;
            own.erase(it);
        }
        Simulation& sim;
        int rank;
        std::uint64_t life = 0;
        Micros stalled_until{0};
        std::unique_ptr<core::RequestCoordinator> core;
        std::unordered_map<RequestId, std::size_t> own;  // requests in hand, by place in tries_
    };

    void at(Micros when, std::function<void()> call) {
        events_.push({when, order_++, std::move(call)});
    }
    Micros host_time() {
        std::uniform_real_distribution<double> spread(0.8, 1.2);
        return Micros(static_cast<std::int64_t>(static_cast<double>(day_.host_time.count()) *
                                                spread(random_)));
    }

    void arrive() {
        const Arrival a = arrivals_.next();
        if (a.at >= day_.length) return;
        at(start + a.at, [this, a] {
            take(a);
            arrive();
        });
    }
    void take(const Arrival& a) {
        // Clients go on to the next instance where one is down.
        int i = a.instance;
        for (int tried = 0; !nodes_[static_cast<std::size_t>(i)]->core && tried < day_.instances;
             ++tried)
            i = (i + 1) % day_.instances;
        Node& node = *nodes_[static_cast<std::size_t>(i)];
        if (!node.core) return;
        const std::size_t place = tries_.size();
        tries_.push_back({now_ - start, -1us, 0us, a.account, i, Ending::open});
        at(now_ + way_to_host, [this, &node, l = node.life, place, a] {
            const auto lost = [this, place] {  // with its instance: the client's to retry
                tries_[place].ending = Ending::failed, tries_[place].ended = now_ - start;
            };
            if (l != node.life || !node.core) return lost();
            node.when_awake([this, &node, place, a] {
                const RequestId id = node.core->next_id();
                node.own[id] = place;
                node.core->start_request(now_, id,
                                         {account_name(a.account), 0, 0, 1, day_.deadline});
            });
        });
    }
    void carry(int from, int to, const std::string& bytes) {
        ++result_.traffic.messages;
        result_.traffic.bytes += bytes.size();
        std::uniform_real_distribution<double> uniform(0, 1);
        const double lost = uniform(random_);
        if (lost < std::max(day_.loss, loss_) || (parted_ && from % 2 != to % 2)) return;
        const auto spread = static_cast<double>((day_.most_delay - day_.least_delay).count());
        const Micros delay =
            day_.least_delay + Micros(static_cast<std::int64_t>(uniform(random_) * spread));
        at(now_ + delay, [this, from, to, bytes] {
            Node& node = *nodes_[static_cast<std::size_t>(to)];
            node.when_awake([this, &node, from, bytes] {
                node.core->on_peer_message(now_, {from, bytes});
            });
        });
    }
    void kill(int i, Micros span) {
        Node& node = *nodes_[static_cast<std::size_t>(i)];
        for (const auto& [id, place] : node.own)
            tries_[place].ending = Ending::failed, tries_[place].ended = now_ - start;
        node.own.clear();
        node.core.reset();
        ++node.life;
        at(now_ + span, [&node] { node.begin(); });
    }
    void plan(const FleetTrouble& t) {
        const int who = t.instance < 0 ? home_of_first(day_) : t.instance;
        const Micros from = start + t.at, until = from + t.span;
        switch (t.kind) {
            case Trouble::kill:
                at(from, [this, who, t] { kill(who, t.span); });
                break;
            case Trouble::stall:
                at(from, [this, who, until] {
                    nodes_[static_cast<std::size_t>(who)]->stalled_until = until;
                });
                break;
            case Trouble::partition:
                at(from, [this] { parted_ = true; });
                at(until, [this] { parted_ = false; });
                break;
            case Trouble::lose:
                at(from, [this, t] { loss_ = t.loss; });
                at(until, [this] { loss_ = 0; });
                break;
            case Trouble::restart_all:
                for (int i = 0; i < day_.instances; ++i)
                    at(from + i * t.span, [this, i, t] { kill(i, t.span); });
                break;
        }
    }

    const FleetDay& day_;
    std::mt19937_64 random_;
    Arrivals arrivals_;
    Settings settings_;
    Micros now_ = start;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<FleetTry> tries_;
    double loss_ = 0;
    bool parted_ = false;
    FleetResult result_;
};
}  // namespace

FleetResult play_virtual(const FleetDay& day, double messages_default) {
    return Simulation(day, messages_default).run();
}

}  // namespace silverreach::scenario

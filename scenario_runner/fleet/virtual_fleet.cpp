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
constexpr Micros network_delay = 50us;    // one way, client to gateway and gateway to host
constexpr Micros clock_start{1'000'000};  // virtual time starts above 0

class Simulation {
  public:
    Simulation(const FleetScenario& scenario, double default_message_rate)
        : scenario_(scenario), random_(scenario.seed), arrivals_(scenario) {
        const auto instance_count = static_cast<std::size_t>(scenario.instances);
        settings_.instance_count = scenario.instances;
        settings_.classes = {{"safe", Idempotency::idempotent, DeduplicationScope::all,
                              scenario.latency_objective, scenario.deadline, 0us, 1, 0}};
        settings_.plans = {{"plan", scenario.quota, effective_burst(scenario), 0, 1, 0, 0,
                            scenario.ceiling, scenario.ceiling_burst}};
        settings_.may_message_peers = scenario.instances > 1;
        settings_.may_send_retry_after = true;
        settings_.peer_messages_per_second = scenario.peer_messages_per_second > 0
                                                 ? scenario.peer_messages_per_second
                                                 : default_message_rate;
        settings_.timer_tick = 4ms;
        for (std::size_t i = 0; i < instance_count; ++i)
            instances_.push_back(std::make_unique<Instance>(*this, static_cast<int>(i)));
    }

    FleetResult run() {
        for (auto& instance : instances_)
            instance->start();
        for (const FleetFault& fault : scenario_.faults)
            schedule_fault(fault);
        schedule_arrival();
        while (!events_.empty() &&
               events_.top().at <= clock_start + scenario_.duration + scenario_.deadline + 1s) {
            Event event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.callback();
        }
        result_.requests = std::move(requests_);
        return std::move(result_);
    }

  private:
    struct Event {
        Micros at;
        std::uint64_t sequence;
        std::function<void()> callback;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    struct Instance : core::Environment {
        Instance(Simulation& parent, int own_rank) : simulation(parent), rank(own_rank) {}
        void start() {
            Settings settings = simulation.settings_;
            settings.rank = rank;
            ++incarnation;
            stalled_until = 0us;
            request_indices.clear();
            coordinator = std::make_unique<core::RequestCoordinator>(
                settings, 0, simulation.random_(), simulation.now_, *this);
            EndpointsChanged change{true, {}};
            for (int host = 0; host < simulation.scenario_.hosts; ++host)
                change.endpoints.push_back({"10.0.0." + std::to_string(host + 1) + ":80", "", "", 0,
                                            EndpointStatus::available, 1, 0us});
            coordinator->on_endpoints_changed(simulation.now_, change);
        }
        // Runs the callback now, or when the instance continues if it is stalled. Drops it if the
        // instance is down.
        template <typename Callback>
        void when_running(Callback callback) {
            if (!coordinator) return;
            if (simulation.now_ >= stalled_until) return callback();
            simulation.schedule(stalled_until,
                                [this, expected = incarnation, callback = std::move(callback)] {
                                    if (expected == incarnation && coordinator) callback();
                                });
        }
        void start_timer(Micros delay, core::Timer timer) override {
            simulation.schedule(simulation.now_ + delay, [this, expected = incarnation, timer] {
                if (expected == incarnation)
                    when_running([this, timer] { coordinator->on_timer(simulation.now_, timer); });
            });
        }
        void send_attempt(const core::AttemptKey& key, const std::string& host, Micros) override {
            const Micros sent = simulation.now_;
            const auto found = request_indices.find(key.request);
            if (found != request_indices.end()) {
                FleetRequest& request = simulation.requests_[found->second];
                if (request.received_at < 0us)
                    request.received_at = sent + network_delay - clock_start;
            }
            const Micros duration = simulation.draw_service_time() + 2 * network_delay;
            simulation.schedule(
                sent + duration, [this, expected = incarnation, key, host, duration] {
                    if (expected == incarnation)
                        when_running([this, key, host, duration] {
                            if (coordinator->on_response_started(simulation.now_, key, host,
                                                                 duration, {})) {
                                coordinator->on_response_ended(simulation.now_, key.request, true);
                                finish(key.request, RequestOutcome::served);
                            }
                        });
                });
        }
        void cancel_attempt(const core::AttemptKey&) override {}
        bool withdraw_attempt(const core::AttemptKey&) override { return false; }
        void start_health_check(const std::string&) override {}
        void send_peer_message(int to, const std::string& bytes) override {
            for (int i = 0; i < simulation.scenario_.instances; ++i)
                if (i != rank && (to < 0 || to == i)) simulation.deliver_message(rank, i, bytes);
        }
        void finish_request(RequestId id, const core::FinalResponse& response) override {
            finish(id, !response.rejected ? RequestOutcome::failed
                       : response.reject_reason == RejectReason::quota_exhausted
                           ? RequestOutcome::quota
                       : response.reject_reason == RejectReason::ceiling_reached
                           ? RequestOutcome::ceiling
                           : RequestOutcome::rejected);
        }
        void abort_response(RequestId id) override { finish(id, RequestOutcome::failed); }
        void finish(RequestId id, RequestOutcome outcome) {
            const auto it = request_indices.find(id);
            if (it == request_indices.end()) return;
            FleetRequest& request = simulation.requests_[it->second];
            request.outcome = outcome,
            request.ended_at = simulation.now_ + network_delay - clock_start;
            request_indices.erase(it);
        }
        Simulation& simulation;
        int rank;
        std::uint64_t incarnation = 0;
        Micros stalled_until{0};
        std::unique_ptr<core::RequestCoordinator> coordinator;
        std::unordered_map<RequestId, std::size_t>
            request_indices;  // of requests in flight, into requests_
    };

    void schedule(Micros when, std::function<void()> callback) {
        events_.push({when, next_sequence_++, std::move(callback)});
    }
    Micros draw_service_time() {
        std::uniform_real_distribution<double> spread(0.8, 1.2);
        return Micros(static_cast<std::int64_t>(
            static_cast<double>(scenario_.service_time.count()) * spread(random_)));
    }

    void schedule_arrival() {
        const Arrival arrival = arrivals_.next();
        if (arrival.at >= scenario_.duration) return;
        schedule(clock_start + arrival.at, [this, arrival] {
            send_request(arrival);
            schedule_arrival();
        });
    }
    void send_request(const Arrival& arrival) {
        // Clients use the next instance where one is down.
        int i = arrival.instance;
        for (int tried = 0;
             !instances_[static_cast<std::size_t>(i)]->coordinator && tried < scenario_.instances;
             ++tried)
            i = (i + 1) % scenario_.instances;
        Instance& instance = *instances_[static_cast<std::size_t>(i)];
        if (!instance.coordinator) return;
        const std::size_t index = requests_.size();
        requests_.push_back(
            {now_ - clock_start, -1us, 0us, arrival.account, i, RequestOutcome::unfinished});
        schedule(now_ + network_delay, [this, &instance, expected = instance.incarnation, index,
                                        arrival] {
            const auto fail = [this, index] {  // the instance was killed meanwhile
                requests_[index].outcome = RequestOutcome::failed,
                requests_[index].ended_at = now_ - clock_start;
            };
            if (expected != instance.incarnation || !instance.coordinator) return fail();
            instance.when_running([this, &instance, index, arrival] {
                const RequestId id = instance.coordinator->next_id();
                instance.request_indices[id] = index;
                instance.coordinator->start_request(
                    now_, id, {account_name(arrival.account), 0, 0, 1, scenario_.deadline});
            });
        });
    }
    void deliver_message(int from, int to, const std::string& bytes) {
        ++result_.traffic.messages;
        result_.traffic.bytes += bytes.size();
        std::uniform_real_distribution<double> uniform(0, 1);
        const double loss_draw = uniform(random_);
        if (loss_draw < std::max(scenario_.loss, fault_loss_) ||
            (is_partitioned_ && from % 2 != to % 2))
            return;
        const auto spread =
            static_cast<double>((scenario_.max_delay - scenario_.min_delay).count());
        const Micros delay =
            scenario_.min_delay + Micros(static_cast<std::int64_t>(uniform(random_) * spread));
        schedule(now_ + delay, [this, from, to, bytes] {
            Instance& instance = *instances_[static_cast<std::size_t>(to)];
            instance.when_running([this, &instance, from, bytes] {
                instance.coordinator->on_peer_message(now_, {from, bytes});
            });
        });
    }
    void kill(int i, Micros duration) {
        Instance& instance = *instances_[static_cast<std::size_t>(i)];
        for (const auto& [id, index] : instance.request_indices)
            requests_[index].outcome = RequestOutcome::failed,
            requests_[index].ended_at = now_ - clock_start;
        instance.request_indices.clear();
        instance.coordinator.reset();
        ++instance.incarnation;
        schedule(now_ + duration, [&instance] { instance.start(); });
    }
    void schedule_fault(const FleetFault& fault) {
        const int rank = fault.instance < 0 ? first_account_owner(scenario_) : fault.instance;
        const Micros from = clock_start + fault.at, until = from + fault.duration;
        switch (fault.kind) {
            case FaultKind::kill:
                schedule(from, [this, rank, fault] { kill(rank, fault.duration); });
                break;
            case FaultKind::stall:
                schedule(from, [this, rank, until] {
                    instances_[static_cast<std::size_t>(rank)]->stalled_until = until;
                });
                break;
            case FaultKind::partition:
                schedule(from, [this] { is_partitioned_ = true; });
                schedule(until, [this] { is_partitioned_ = false; });
                break;
            case FaultKind::lose:
                schedule(from, [this, fault] { fault_loss_ = fault.loss; });
                schedule(until, [this] { fault_loss_ = 0; });
                break;
            case FaultKind::restart_all:
                for (int i = 0; i < scenario_.instances; ++i)
                    schedule(from + i * fault.duration,
                             [this, i, fault] { kill(i, fault.duration); });
                break;
        }
    }

    const FleetScenario& scenario_;
    std::mt19937_64 random_;
    Arrivals arrivals_;
    Settings settings_;
    Micros now_ = clock_start;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<FleetRequest> requests_;
    double fault_loss_ = 0;
    bool is_partitioned_ = false;
    FleetResult result_;
};
}  // namespace

FleetResult simulate_fleet(const FleetScenario& scenario, double default_message_rate) {
    return Simulation(scenario, default_message_rate).run();
}

}  // namespace silverreach::scenario

// Implements DecisionEngine: passes each event to the classes that handle it and takes requests
// through admission. The classes in the subfolders contain the rules.
#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "decisions/admission/admission_control.h"
#include "decisions/admission/admission_queue.h"
#include "decisions/admission/overload_detector.h"
#include "decisions/decision_context.h"
#include "decisions/dispatch/request_dispatcher.h"
#include "decisions/load_balancing/load_balancer.h"
#include "decisions/quota/quota_listener.h"
#include "decisions/quota/quota_manager.h"
#include "decisions/random_source.h"
#include "decisions/request_state.h"
#include "silverreach/interface.h"

namespace silverreach {
namespace {
using namespace std::chrono_literals;

constexpr Micros state_sweep_period = 5s;  // between removals of idle state

Settings validated(Settings settings) {
    validate(settings);
    return settings;
}
}  // namespace

class DecisionEngine::Impl final : private QuotaListener {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : context_(validated(std::move(settings)), now),
          random_(seed),
          quota_(context_, *this, static_cast<std::uint32_t>(random_.next()) | 1),
          load_balancer_(context_, random_),
          queue_(requests_),
          admission_(context_, quota_, overload_detector_, queue_),
          dispatcher_(context_, requests_, quota_, load_balancer_, queue_) {}

    void handle(Micros now, const Event& event, std::vector<Action>& actions) {
        context_.begin_event(now, actions);
        if (!context_.stall_detector.has_started()) on_heartbeat();
        std::visit([this](const auto& specific_event) { on(specific_event); }, event);
        quota_.flush_outboxes();
    }

  private:
    // ---- events

    void on(const RequestArrived& arrival) {
        const auto class_count = static_cast<int>(context_.settings.classes.size());
        const auto plan_count = static_cast<int>(context_.settings.plans.size());
        if (arrival.request_class < 0 || arrival.request_class >= class_count ||
            arrival.plan >= plan_count || requests_.contains(arrival.id))
            return;
        if (arrival.time_remaining <= 0us)
            return context_.emit(RejectRequest{arrival.id, 0us, RejectReason::deadline_exceeded});
        RequestState& request = add_request(arrival);
        const QuotaDecision decision = admission_.check_quota(request);
        switch (decision.status) {
            case QuotaStatus::covered:
                return admit(request);
            case QuotaStatus::needs_lease:
                return quota_.wait_for_lease(*request.customer, arrival.id);
            case QuotaStatus::exhausted:
                return admit_excess_or_reject(request, decision.rejection);
        }
    }

    void on(const AttemptEnded& ended) {
        Endpoint* endpoint = load_balancer_.find(ended.endpoint);
        RequestState* request = find_request(ended.id);
        if (endpoint) {
            const auto assessment = load_balancer_.on_attempt_ended(*endpoint, request, ended);
            if (assessment) overload_detector_.on_outcome(*assessment);
        }
        if (request) dispatcher_.on_attempt_ended(*request, ended, endpoint);
        dispatcher_.dispatch_queued();
    }

    void on(const HealthCheckEnded& ended) {
        Endpoint* endpoint = load_balancer_.find(ended.endpoint);
        if (!endpoint) return;
        const bool succeeded = ended.outcome == Outcome::success;
        for (const RequestId id : load_balancer_.on_health_check_ended(*endpoint, ended))
            if (RequestState* request = find_request(id))
                dispatcher_.on_health_check_ended(*request, *endpoint, succeeded);
        dispatcher_.dispatch_queued();
    }

    void on(const EndpointsChanged& change) {
        load_balancer_.on_endpoints_changed(change);
        clear_candidates();
        dispatcher_.dispatch_queued();
    }

    void on(const ClientDisconnected& event) {
        if (RequestState* request = find_request(event.id)) dispatcher_.remove(*request);
    }

    void on(const PeerMessageReceived& message) {
        quota_.on_peer_message(message.from, message.bytes);
    }

    void on(const TimerFired& fired) {
        const TimerKind kind = timer_kind(fired.token);
        const std::uint64_t subject = timer_subject(fired.token);
        if (kind == TimerKind::lease_request)
            return quota_.on_lease_request_timeout(static_cast<std::uint32_t>(subject));
        if (kind == TimerKind::peer_outbox)
            return quota_.on_outbox_timer(static_cast<int>(subject));
        if (kind == TimerKind::heartbeat && subject == 0) return on_heartbeat();
        if (RequestState* request = find_request(subject)) dispatcher_.on_timer(kind, *request);
        dispatcher_.dispatch_queued();
    }

    void on_heartbeat() {
        context_.stall_detector.on_heartbeat(context_.now);
        context_.start_timer(StallDetector::heartbeat_period, TimerKind::heartbeat, 0);
        quota_.on_heartbeat();
        if (context_.now - last_sweep_at_ < state_sweep_period) return;
        last_sweep_at_ = context_.now;
        load_balancer_.refresh_endpoints();
        clear_candidates();
        quota_.remove_idle();
    }

    // ---- admission

    RequestState& add_request(const RequestArrived& arrival) {
        RequestState& request = requests_[arrival.id];
        request.arrival = arrival;
        request.arrival.units = std::max(0.0, arrival.units);
        request.customer = &quota_.on_request(arrival);
        request.kind = request_kind(arrival, context_.settings.plans.size());
        request.deadline = context_.now + arrival.time_remaining;
        request.latest_start = admission_.latest_start(arrival);
        context_.start_timer(arrival.time_remaining - 2 * context_.settings.timer_tick,
                             TimerKind::request_deadline, arrival.id);
        return request;
    }

    void admit(RequestState& request) {
        const Pacing pacing = admission_.pace(request);
        if (pacing.is_too_late)
            return dispatcher_.reject(request, RejectReason::overloaded, pacing.delay);
        request.reservation =
            quota_.reserve(*request.customer, request.arrival.units, request.is_within_quota);
        if (pacing.delay <= 0us) return dispatcher_.dispatch(request);
        context_.start_timer(pacing.delay, TimerKind::pacing_delay, request.arrival.id);
    }
    void admit_excess_or_reject(RequestState& request, const Rejection& shortage) {
        if (const auto rejection = admission_.check_excess(request, shortage))
            return dispatcher_.reject(request, rejection->reason, rejection->retry_after);
        request.is_within_quota = false;
        admit(request);
    }

    // ---- QuotaListener

    std::optional<double> waiting_units(RequestId id) const override {
        const auto it = requests_.find(id);
        if (it == requests_.end()) return std::nullopt;
        return it->second.arrival.units;
    }
    void on_quota_granted(RequestId id) override {
        if (RequestState* request = find_request(id)) admit(*request);
    }
    void on_quota_denied(RequestId id, Micros retry_after) override {
        if (RequestState* request = find_request(id))
            admit_excess_or_reject(*request, {RejectReason::quota_exhausted, retry_after});
    }

    // ---- requests

    // Null if the request has its final response or is unknown.
    RequestState* find_request(RequestId id) {
        const auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }
    // Candidates hold pointers to endpoints, which an update of the endpoint list may remove.
    void clear_candidates() {
        for (auto& [id, request] : requests_)
            request.candidates.clear();
    }

    DecisionContext context_;
    RandomSource random_;
    RequestTable requests_;
    QuotaManager quota_;
    LoadBalancer load_balancer_;
    OverloadDetector overload_detector_;
    AdmissionQueue queue_;
    AdmissionControl admission_;
    RequestDispatcher dispatcher_;
    Micros last_sweep_at_{0};
};

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;
void DecisionEngine::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace silverreach

// Every decision of the gateway and every tuned constant. Types, events and actions:
// silverreach/interface.h
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "decisions/slow_start_tracker.h"
#include "decisions/deduplication.h"
#include "decisions/decaying_counter.h"
#include "decisions/decision_context.h"
#include "decisions/quota/lease_codec.h"
#include "decisions/quota/quota_manager.h"
#include "silverreach/interface.h"

namespace silverreach {
namespace {
using namespace std::chrono_literals;
using Actions = std::vector<Action>;

// ---- tuned constants, each with its unit and reason
// ------------------------------------------------------
constexpr double cold_factor = 3;  // SmoothWarmingUp's coldInterval / stableInterval, by the design
constexpr double use_memory_s = 2,
                 over_quota = 1.1;  // of recent demand; told demand: vain to wait for more
constexpr double part_ahead_s = 0.5,
                 start_part = 0.5;  // of demand that a part covers; of a burst at start
constexpr double even_most = 0.5,
                 even_members = 2;  // of a ceiling in even parts; gateways' worth of it
constexpr double standing_most = 0.9,
                 standing_room = 2;  // of a quota in standing parts; of the demand
constexpr double store_holds = 0.5, store_owes = 0.25;  // of what is set aside for a standing part
constexpr double period_least_s = 0.25,
                 period_asks = 1.5;     // between asks; of the intake's share for each
constexpr Micros part_life_least = 2s;  // until a standing part lapses, and so many periods:
constexpr int part_lives = 4, homes = 3,
              asks_most = 4;  // a customer's home and successors; asks for one
constexpr Micros answer_due = 150ms,
                 silent_for = 1s;  // an ask is lost by then; its peer passed over so long
constexpr double mail_share = 0.8, mail_at_once = 3;  // of an intake, by those who talk; messages
constexpr int silent_after = 2,
              probe_rounds = 2;  // asks lost in a row: a peer is silent; pairs probed
constexpr Micros beat_period = 100ms, stall_after = 300ms;  // of a timer that tells own stalls
constexpr Micros idle_after = 60s,
                 sweep_period = 5s;  // idle customers age out; how often that is looked at
constexpr double slow_part = 0.5, slow_weight = 0.04;  // slow, as part of the aim; its weight
constexpr double pressed_above = 0.25,
                 relieved_below = 0.20;  // slow shares: looks pressed, no more
constexpr double room_below = 0.08;  // slow share under which there is room for more than quotas
constexpr double answer_weight =
    0.05;  // weight of one answer in a host's and the fleet's answer time
constexpr double waiting_for_each_host = 0.5;  // requests that may wait here, for each host listed
constexpr double margin_answers = 1.3,
                 margin_most = 0.8;  // kept for the answer: mean times, part of the aim
constexpr double limit_start = 6, limit_least = 2,
                 limit_most = 128;  // attempts at one host, by all gateways
constexpr double limit_trust = 10;  // answers by which a host's own limit outweighs the fleet's
constexpr double long_memory_s = 10,
                 warm_memory_s = 5;   // memory of answers and attempts; of work out
constexpr double cold_memory_s = 30;  // of what warm hosts get, by which cold ones are measured
constexpr double limit_growth = 1,
                 limit_cut = 0.9;         // over the limit for a good answer near it; a bad one
constexpr double limit_slow_part = 0.25;  // answer time as part of the aim that cuts the limit
constexpr double silent_answers =
    3.5;  // expected answers missing when silence is evidence (e^-3.5 = 3%)
constexpr double check_earliest = 0.25,
                 check_latest = 0.55;  // of the aim: silence; usual answer at first
constexpr double overdue_answers = 6;  // usual answer times after which one is lost (e^-6 = 0.2%)
constexpr int eject_after =
    3;  // failures in a row that eject a host; a reset tells of one connection
constexpr Micros eject_first = 500ms, eject_most = 8s,
                 shun_for = 20s;  // doubled each time; one kind, class
constexpr double retry_share = 0.15,
                 retry_floor = 5;  // further attempts earned by each first one, always
constexpr double cold_caution =
    0.5;  // of what fells it, were it to get the even share of a warm one
constexpr Micros cold_chance_most =
    5s;  // time since a cold host was last looked at that counts for its part
constexpr double own_view =
    2;  // attempts out by which the own view of a host's load outweighs the mean
constexpr std::size_t sampled = 12, kept = 32,
                      outbox_most = 200;  // hosts looked at, of those used; messages
constexpr double known_answers = 10,
                 shun_cost = 16;  // answers remembered that spare a probe; how dear
constexpr Micros report_valid =
    250ms;  // a host's own word is believed, or a failed probe leaves it alone
constexpr Micros probe_due = 40ms,
                 wait_again = 100ms;  // the better of two is waited for, a host looked for
constexpr double window_least = 0.2, window_slack = 2;  // deviations of own attempts out that pass

struct Host {
    EndpointEntry entry;
    Micros began{0};          // its slow start, on our clock; 0: long past
    int out = 0;              // own attempts out
    std::uint32_t place = 0;  // in this gateway's order
    double out_limit = limit_start;
    std::map<int, Micros>
        shunned;  // until when: kinds turned away; classes unanswered, as -1 - index
    std::map<int, int> unanswered;  // by class, those far overdue since one was answered
    Micros last_answer{0}, blocked_until{0};
    DecayingCounter answers;  // seen here lately
    double answer_s = 0;      // mean answer time; 0: none seen
    int failures = 0, ejections = 0;
    Micros looked_at{0}, reported_at{0};  // when last considered while cold, when it told of itself
    double reported = -1;                 // requests it holds by its own word
    bool idle = false, tells_held = false;  // by its own word: nothing queues there, what it holds
    std::vector<RequestId> probed_for;      // those that wait for the probe that is out
};

struct Request {
    RequestArrived ask;
    CustomerQuota* customer = nullptr;
    Reservation reservation;
    Micros deadline{0}, latest_start{0};
    bool in_quota = true, sent = false, waiting = false, probing = false, maybe_ran = false;
    int kind = 0, attempts = 0, out = 0, rounds = 0, probes_out = 0;  // kind: class and plan
    std::vector<Host*> pair;
    Micros last_sent{0}, first_maybe{0};
    std::string last_host, group_zone;
    std::int64_t group_cell = 0;
};

}  // namespace

class DecisionEngine::Impl : private QuotaListener {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : context_(checked(std::move(settings)), now),
          random_(seed),
          quota_(context_, *this, static_cast<std::uint32_t>(random_()) | 1),
          starts_(now) {}
    static Settings checked(Settings settings) {
        silverreach::validate(settings);
        return settings;
    }

    void handle(Micros now, const Event& event, Actions& actions) {
        context_.begin_event(now, actions);
        actions_ = &actions;
        if (!context_.stall_detector.started()) beat();
        std::visit([this](const auto& e) { on(e); }, event);
        quota_.flush_outboxes();
    }

  private:
    std::optional<double> waiting_units(RequestId id) const override {
        const auto it = requests_.find(id);
        return it == requests_.end() ? std::nullopt : std::optional(it->second.ask.units);
    }
    void on_quota_granted(RequestId id) override { admit(requests_.at(id)); }
    void on_quota_denied(RequestId id, Micros retry_after) override {
        deny(requests_.at(id), retry_after);
    }
    const Plan* plan_of(const CustomerQuota& c) const { return quota_.plan_of(c); }

    // Beyond the quota: refused at once with the wait, unless settings say that excess earns.
    void deny(Request& q, Micros wait, RejectReason reason = RejectReason::quota_exhausted) {
        const Plan* p = plan_of(*q.customer);
        const bool ceiling = quota_.missing_ceiling_units(*q.customer, q.ask.units) > 0;
        const bool earns = p->excess_weight_factor > p->excess_cost_factor && !ceiling;
        const bool room = !pressed_ && slow_share_ < room_below && waiting_.empty();
        if (!earns || !room)
            return refuse(q, wait, ceiling ? RejectReason::ceiling_reached : reason);
        q.in_quota = false;
        admit(q);
    }
    void refuse(Request& q, Micros wait, RejectReason reason) {
        actions_->push_back(RejectRequest{q.ask.id, advice(std::max(wait, 0us)), reason});
        forget(q);
    }

    // The answer time to expect: half of it for waiting, half for work, which grows with the units.
    double answer_for(double units) const {
        return answer_s_ * (1 + units / std::max(mean_units_, 1e-3)) / 2;
    }
    // Decides on one request: the plain store always, the split slice with warm-up cost while
    // pressed.
    void on(const RequestArrived& r) {
        if (r.request_class < 0 || r.request_class >= static_cast<int>(s_.classes.size()) ||
            r.plan >= static_cast<int>(s_.plans.size()) || requests_.count(r.id))
            return;
        if (r.time_remaining <= 0us)
            return actions_->push_back(RejectRequest{r.id, 0us, RejectReason::deadline_exceeded});
        CustomerQuota& c = quota_.on_request(r);
        Request q;
        q.ask = r, q.customer = &c, q.deadline = now_ + r.time_remaining;
        q.ask.units = std::max(0.0, r.units);
        q.kind = r.request_class * static_cast<int>(s_.plans.size() + 1) + r.plan + 1;
        const double left =
            seconds(std::min(r.time_remaining, s_.classes[r.request_class].latency_objective));
        const double margin =
            std::min(margin_answers * answer_for(q.ask.units), margin_most * left);
        q.latest_start = now_ + micros(left - margin);
        const double k = q.ask.units;
        Request& kept = requests_.emplace(r.id, std::move(q)).first->second;
        timer(r.time_remaining - 2 * s_.timer_tick, r.id, TimerKind::request_deadline);
        const Plan* p = plan_of(c);
        if (!p || (quota_.missing_units(c, k) <= 0 && quota_.missing_ceiling_units(c, k) <= 0)) return admit(kept);
        const double open = p->max_concurrent_attempts * quota_.demand_share(c);
        if (p->max_concurrent_attempts > 0 && c.attempts_in_flight >= std::max(1.0, std::round(open)))
            return deny(kept, micros(answer_s_), RejectReason::concurrency_limit);
        if (const auto shortage = quota_.known_shortage(c, k)) return deny(kept, *shortage);
        quota_.wait_for_lease(c, r.id);
    }

    // The stores cover it. While the back end looks pressed the split slice with warm-up cost binds
    // as well.
    void admit(Request& q) {
        CustomerQuota& c = *q.customer;
        const Plan* p = plan_of(c);
        const double k = q.ask.units;
        Micros wait{0};
        if (p && pressed_ && p->rate > 0 && p->burst > 0) {
            const double stable_s = 1 / (p->rate * quota_.demand_share(c)), warmup_s = p->burst / p->rate;
            c.limiter.refill(now_, stable_s, warmup_s);
            wait = c.limiter.next_free() - now_;
            if (now_ + wait > q.latest_start) return refuse(q, wait, RejectReason::overloaded);
            c.limiter.reserve(k, stable_s, warmup_s);
        }
        q.reservation = quota_.reserve(c, k, q.in_quota);
        if (wait <= 0us) return dispatch(q);
        timer(wait, q.ask.id, TimerKind::pacing_delay);
    }

    // No longer than clients heed, where that is told.
    Micros advice(Micros wait) const {
        const Micros most = s_.max_retry_after > 0us ? s_.max_retry_after : Micros::max();
        return s_.may_send_retry_after ? std::min(wait, most) : 0us;
    }

    // ---- choice of a host
    // -------------------------------------------------------------------------------

    double capacity_share(const Host& h) const {
        if (h.began <= 0us || s_.slow_start_window <= 0us) return 1;
        const double age = seconds(now_ - h.began) / seconds(s_.slow_start_window);
        return age >= 1 ? 1
                        : s_.initial_capacity_share +
                              (1 - s_.initial_capacity_share) * std::max(0.0, age);
    }

    // A cold host gets the even share of warm ones, scaled to the capacity it surely has, as a
    // chance: the part of a request come due since it was last considered. In sum over all gateways
    // the share holds. It is the mean over the time that hosts were warm: where most are cold the
    // few warm ones must not set it. Guards against herds on fresh hosts, retries too; harms where
    // requests cost more than their units say.
    bool cold_turn(Host& h, double units) {
        const double rate = cold_caution * s_.overload_factor * capacity_share(h) * warm_rate_;
        const Micros span = std::min(now_ - std::exchange(h.looked_at, now_), cold_chance_most);
        return uniform() * std::max(units, 1e-3) < rate * seconds(span);
    }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    // Attempts out at a host by all gateways: own ones, and for each other gateway the mean of own
    // attempts, moved to what is out here as far as own attempts can tell. One rule from two
    // gateways to hundreds.
    double load(const Host& h) const {
        const double own = h.out,
                     hosts = static_cast<double>(std::max<std::size_t>(1, order_.size()));
        const double mean =
            work_out_.value(now_, warm_memory_s) / (warm_memory_s * hosts);  // Little's law
        return own + (s_.instance_count - 1) * mean * (own + own_view) / (mean + own_view);
    }

    // The most attempts out at a host: its own limit as far as its answers are known, else the
    // fleet's.
    double limit(const Host& h) const {
        const double known = h.answers.value(now_, long_memory_s),
                     trust = known / (known + limit_trust);
        return trust * h.out_limit + (1 - trust) * limit_;
    }

    bool in_group(const Request& q, const Host& h) const {
        const RequestClass& k = s_.classes[q.ask.request_class];
        if (!q.maybe_ran || k.idempotency == Idempotency::idempotent) return true;
        if (k.idempotency == Idempotency::non_idempotent ||
            !deduplication_window_open(k, q.first_maybe, now_))
            return false;
        return in_same_deduplication_scope(k.deduplication_scope, h.entry.zone, h.entry.cell, q.group_zone,
                                 q.group_cell);
    }

    // Requests at a host: by its own word while that is fresh, with what went there since, else by
    // estimate.
    double held(const Host& h) const {
        const double age = seconds(now_ - h.reported_at) / seconds(report_valid);
        if (h.reported < 0 || age >= 1) return load(h);
        return (1 - age) * h.reported + age * load(h);
    }
    double cost(const Host& h) const {
        const double known = h.answers.value(now_, long_memory_s);
        const double like = std::max(answer_s_, 1e-3);
        const double answer = (known * h.answer_s + limit_trust * like) / (known + limit_trust);
        return (held(h) + 1) * answer / (std::max(h.entry.weight, 1e-3) * capacity_share(h));
    }

    // The best two of the first hosts in this gateway's own order that could take it. A stable few,
    // so that hundreds of gateways do not fill every host's connections, and each learns more of
    // those it uses.
    std::vector<Host*> pick(const Request& q) {
        std::pair<double, Host*> best{0, nullptr}, second{0, nullptr};
        std::size_t seen = 0;
        for (std::size_t i = 0; i < order_.size() && seen < sampled; ++i) {
            if (i < kept)
                std::swap(order_[i], order_[i + random_() % (std::min(kept, order_.size()) - i)]);
            Host& h = *order_[i];
            if (h.entry.status != EndpointStatus::available || now_ < h.blocked_until ||
                !in_group(q, h))
                continue;
            if ((known(h) && held(h) >= limit(h)) || shuns(h, -1 - q.ask.request_class)) continue;
            ++seen;
            const bool cold = capacity_share(h) < 1 && warm_ > 0;
            if (cold && cold_turn(h, q.ask.units)) return {&h};
            if (cold) continue;
            double c = cost(h) * (0.95 + 0.1 * uniform());
            if (h.entry.zone != s_.zone) c *= 1 + 5 * s_.cross_zone_cost;
            if (h.entry.id == q.last_host) c *= 4;
            if (shuns(h, q.kind)) c *= shun_cost;
            if (!best.second || c < best.first)
                second = best, best = {c, &h};
            else if (!second.second || c < second.first)
                second = {c, &h};
        }
        std::vector<Host*> pair{best.second, second.second};
        std::erase(pair, nullptr);
        return pair;
    }

    // Sends if a host can take it, or asks the best two how they are; else the request waits for
    // one until its latest start. Probes stand in for answers where this gateway sees few of a
    // host's.
    bool try_send(Request& q) {
        q.pair = pick(q);
        if (q.pair.empty()) return false;
        if (known(*q.pair.front())) return send_to(q, *q.pair.front()), true;
        if (q.rounds >= probe_rounds || !window_open()) return q.rounds = probe_rounds, false;
        ++q.rounds;
        q.waiting = false, q.probing = true;
        q.probes_out = static_cast<int>(q.pair.size());
        for (Host* h : q.pair) {
            h->probed_for.push_back(q.ask.id);
            if (h->probed_for.size() == 1) actions_->push_back(StartHealthCheck{h->entry.id});
        }
        timer(probe_due, q.ask.id, TimerKind::health_check);
        return true;
    }
    // Own attempts out against this gateway's part of what the fleet takes; a part below one is a
    // chance. Guards against hundreds that each see a host without a queue; harms where the others
    // stand idle.
    bool window_open() { return out_ + uniform() < window(); }
    double window() const {
        const double part = limit_ * static_cast<double>(order_.size()) / s_.instance_count;
        return part + window_slack * std::sqrt(part);
    }
    bool known(const Host& h) const {
        return !s_.may_health_check || h.answers.value(now_, long_memory_s) >= known_answers;
    }
    // By a fresh word of its own a host has room while nothing queues there, whatever the limits
    // learned.
    bool takes(const Host& h) const {
        const bool fresh = h.reported_at > 0us && now_ - h.reported_at < report_valid;
        return h.entry.status == EndpointStatus::available && now_ >= h.blocked_until &&
               (fresh || known(h)) && ((fresh && h.idle && !h.tells_held) || held(h) < limit(h));
    }

    void on(const HealthCheckEnded& e) {
        const auto it = hosts_.find(e.endpoint);
        if (it == hosts_.end()) return;
        Host& h = it->second;
        const bool good = e.outcome == Outcome::success;
        if (good)
            note_report(h, e.load_report);
        else if (e.outcome != Outcome::not_started)
            h.blocked_until = std::max(h.blocked_until, now_ + report_valid);
        for (const RequestId id : std::exchange(h.probed_for, {})) {
            const auto found = requests_.find(id);
            if (found == requests_.end() || !found->second.probing) continue;
            Request& q = found->second;
            if (!std::count(q.pair.begin(), q.pair.end(), &h)) continue;
            --q.probes_out;
            if (good && h.idle && takes(h) && in_group(q, h))
                send_to(q, h);
            else if (q.probes_out <= 0)
                choose(q);
        }
        pump();
    }
    void note_report(Host& h, const LoadReport& r) {
        h.reported_at = now_, h.tells_held = r.in_flight_requests >= 0;
        h.idle = r.queued_requests <
                 0.5;  // also where the site's hosts tell nothing: the first to answer is taken
        h.reported = r.in_flight_requests >= 0 ? r.in_flight_requests
                     : r.queued_requests >= 0  ? r.queued_requests + load(h)
                                               : -1;
    }
    // The probes are in, or waited for long enough: the better of those that answered.
    void choose(Request& q) {
        Host* best = nullptr;
        for (Host* h : q.pair)
            if (takes(*h) && in_group(q, *h) && (!best || cost(*h) < cost(*best))) best = h;
        if (best && now_ <= q.latest_start) return send_to(q, *best);
        q.probing = false;
        dispatch(q);
    }

    void send_to(Request& q, Host& h) {
        CustomerQuota& c = *q.customer;
        quota_.on_attempt_sent(c, q.reservation, q.ask.units, !q.sent);
        if (!q.sent) retry_earned_.add(1, now_, long_memory_s);
        q.sent = true;
        q.waiting = q.probing = false, q.rounds = 0;
        ++q.attempts, ++q.out, ++c.attempts_in_flight;
        q.last_host = h.entry.id, q.last_sent = now_;
        if (h.reported >= 0) ++h.reported;
        if (h.out++ == 0) h.last_answer = now_;
        ++out_;
        mean_units_ += answer_weight * (q.ask.units - mean_units_);
        const double warm = static_cast<double>(std::min(warm_, kept));
        const Micros since = std::min(now_ - std::exchange(sent_at_, now_), cold_chance_most);
        warm_time_.add(warm * seconds(since), now_, cold_memory_s);
        if (capacity_share(h) >= 1) warm_sent_.add(q.ask.units, now_, cold_memory_s);
        const double time = warm_time_.value(now_, cold_memory_s) + warm_memory_s;
        warm_rate_ = warm_sent_.value(now_, cold_memory_s) / time;
        actions_->push_back(SendAttempt{q.ask.id, h.entry.id, std::max(q.deadline - now_, 1us)});
        const double aim = seconds(s_.classes[q.ask.request_class].latency_objective);
        timer(micros(
                  std::clamp(silent_answers * answer_s_, check_earliest * aim, check_latest * aim)),
              q.ask.id, TimerKind::attempt_check);
    }

    void dispatch(Request& q) {
        if (now_ <= q.latest_start && try_send(q)) return;
        if (now_ >= q.latest_start) return finish(q);
        if (!std::exchange(q.waiting, true)) waiting_.push_back(q.ask.id);
        timer(std::min(wait_again, q.latest_start - now_), q.ask.id, TimerKind::queue_timeout);
        // Of more that wait than hosts could soon take, the oldest is answered now, so that its
        // client can come again in time. Guards against a line that only ages; harms if many places
        // come free at once.
        if (static_cast<double>(waiting_.size()) <= waiting_for_each_host * order_.size() + 1)
            return;
        const auto it = requests_.find(waiting_.front());
        waiting_.pop_front();
        if (it != requests_.end() && it->second.waiting) finish(it->second);
    }

    // Lets waiting requests go while hosts have room, newest first: in order, all would leave at
    // their last moment. Guards against any lasting shortage of hosts; harms the few that wait in a
    // short one.
    void pump() {
        for (std::size_t i = waiting_.size(); i-- > 0;) {
            const auto it = requests_.find(waiting_[i]);
            const bool waits = it != requests_.end() && it->second.waiting;
            if (waits && !(now_ <= it->second.latest_start && try_send(it->second))) continue;
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    // Final answer: a refusal where it is sure or harmless that nothing ran, else a failure.
    void finish(Request& q) {
        const RequestClass& k = s_.classes[q.ask.request_class];
        const bool harmless = k.idempotency == Idempotency::idempotent ||
                              !(q.maybe_ran || q.out > 0) ||
                              (k.idempotency == Idempotency::idempotency_key &&
                               k.deduplication_scope == DeduplicationScope::all && q.out == 0);
        if (harmless && q.sent) return refuse(q, 0us, RejectReason::no_response);
        if (harmless) return refuse(q, micros(answer_s_), RejectReason::no_endpoint);
        actions_->push_back(FailRequest{q.ask.id});
        forget(q);
    }
    void forget(Request& q) {
        CustomerQuota& c = *q.customer;
        if (!q.sent) quota_.release(c, q.reservation);
        --c.open_requests;
        requests_.erase(q.ask.id);
    }

    // ---- outcomes and health
    // ----------------------------------------------------------------------------

    // Refusals and time-outs among fast answers tell of one kind of request, not of load.
    bool fast(double aim_s) const { return answer_s_ <= limit_slow_part * aim_s; }

    void judge(Host& h, const AttemptEnded& a, double aim_s) {
        const bool good = a.outcome == Outcome::success;
        const double took = seconds(a.duration);
        if (good) {
            h.failures = h.ejections = 0;
            const double first = answer_s_ > 0 ? 0.8 * answer_s_ + 0.2 * took : took;
            h.answer_s += h.answer_s > 0 ? answer_weight * (took - h.answer_s) : first;
            answer_s_ += (answer_s_ > 0 ? answer_weight : 1) * (took - answer_s_);
        }
        // A time-out counts as slow or bad by its length if the host answered others, and as its
        // failure only if it was silent since before. Guards against clients of little patience and
        // costly requests putting good hosts out.
        const bool late = a.outcome == Outcome::timeout;
        const bool silent = h.last_answer + a.duration <= now_,
                   none = h.last_answer + a.duration < now_;
        const bool waited = late && !silent && took > limit_slow_part * aim_s;
        const bool bad = !fast(aim_s) && (a.outcome == Outcome::rejected || waited);
        h.answers.add(1, now_, long_memory_s);
        const bool cut = bad || (good && took > limit_slow_part * aim_s);
        const auto learn = [&](double& most, double least, bool near) {
            if (cut)
                most = std::max(least, most * limit_cut);
            else if (good && near)
                most = std::min(limit_most, most + std::min(limit_growth / most, most / 4));
        };
        learn(h.out_limit, limit_least, load(h) + 2 > limit(h));
        learn(limit_, window_least, 2 * (out_ + 1) > window());
        if (good || bad) {
            const bool slow = a.outcome == Outcome::rejected || took > slow_part * aim_s;
            slow_share_ += slow_weight * (slow - slow_share_);
            pressed_ = slow_share_ > (pressed_ ? relieved_below : pressed_above);
        }
        if (a.outcome == Outcome::error || a.outcome == Outcome::reset || (late && none))
            fail(h, 1);
        if (a.outcome == Outcome::connect_failed) fail(h, eject_after);
    }
    void fail(Host& h, int weight) {
        h.failures += weight;
        if (h.failures < eject_after || now_ < h.blocked_until) return;
        h.blocked_until =
            now_ + std::min(eject_most, eject_first * (1 << std::min(h.ejections, 4)));
        ++h.ejections;
    }

    void on(const AttemptEnded& a) {
        const auto host = hosts_.find(a.endpoint);
        const auto found = requests_.find(a.id);
        if (host != hosts_.end()) {
            if (host->second.out > 0) --host->second.out, --out_;
            work_out_.add(seconds(a.duration), now_, warm_memory_s);
            const double aim =
                found == requests_.end()
                    ? aim_s()
                    : seconds(s_.classes[found->second.ask.request_class].latency_objective);
            if (a.load_report.queued_requests >= 0 || a.load_report.in_flight_requests >= 0)
                note_report(host->second, a.load_report);
            if (a.outcome == Outcome::success || a.outcome == Outcome::error)
                host->second.last_answer = now_;
            if (!stalled()) judge(host->second, a, aim);
            if (a.outcome == Outcome::rejected && fast(aim) && found != requests_.end())
                host->second.shunned[found->second.kind] = now_ + shun_for;
        }
        if (found != requests_.end()) {
            Request& q = found->second;
            if (a.outcome == Outcome::success && host != hosts_.end())
                host->second.unanswered[q.ask.request_class] = 0;
            q.out = std::max(0, q.out - 1);
            q.customer->attempts_in_flight = std::max(0, q.customer->attempts_in_flight - 1);
            if (q.in_quota) quota_.correct_units(*q.customer, q.ask.units, a.actual_units);
            const bool never_ran = a.outcome == Outcome::rejected ||
                                   a.outcome == Outcome::connect_failed ||
                                   a.outcome == Outcome::not_started;
            if (a.request_completed)
                forget(q);
            else {
                if (!never_ran && !q.maybe_ran) {
                    q.maybe_ran = true, q.first_maybe = q.last_sent;
                    if (host != hosts_.end())
                        q.group_zone = host->second.entry.zone,
                        q.group_cell = host->second.entry.cell;
                }
                if (q.out == 0) again(q);
            }
        }
        pump();
    }
    double aim_s() const {
        return s_.classes.empty() ? 1 : seconds(s_.classes.front().latency_objective);
    }

    // A further attempt, only from the retry budget and only if it can still be in time.
    void again(Request& q) {
        const RequestClass& k = s_.classes[q.ask.request_class];
        const bool keyed = k.idempotency == Idempotency::idempotency_key &&
                           deduplication_window_open(k, q.first_maybe, now_);
        const bool may = (!q.maybe_ran || k.idempotency == Idempotency::idempotent || keyed) &&
                         q.attempts < s_.max_attempts;
        // Turned away among fast answers: another host may well take it, and no work is added.
        const bool spare = !q.maybe_ran && fast(seconds(k.latency_objective));
        if (!may || now_ >= q.latest_start || !(spare || take_retry())) return finish(q);
        dispatch(q);
    }
    bool take_retry() {
        const double earned = retry_earned_.value(now_, long_memory_s) * retry_share + retry_floor;
        if (retry_spent_.value(now_, long_memory_s) + 1 > earned) return false;
        retry_spent_.add(1, now_, long_memory_s);
        return true;
    }

    // Expected answers missing under an attempt, whatever the cause: a second copy, or where none
    // may be out a cancel, and the host is ejected. Guards against silent death, cut links, stalls;
    // harms a slow lone request. Far overdue where the host answers others it lost its connection
    // and is cancelled; a second in a row tells that the host leaves its class unanswered: that
    // goes elsewhere. Harms very costly requests.
    void check(Request& q) {
        if (q.out == 0 || q.waiting || !hosts_.count(q.last_host)) return;
        if (stalled()) return timer(beat_period, q.ask.id, TimerKind::attempt_check);
        Host& h = hosts_.at(q.last_host);
        const int cls = q.ask.request_class;
        const double waited = seconds(now_ - q.last_sent), aim = aim_s();
        const double known = h.answers.value(now_, long_memory_s),
                     like = std::max(h.answer_s, answer_s_);
        const double usual =
            (known * like + limit_trust * check_earliest * aim) / (known + limit_trust);
        if (h.last_answer > q.last_sent) {
            if (!fast(aim) || s_.may_hedge ||
                s_.classes[cls].idempotency == Idempotency::non_idempotent)
                return;
            const double due = std::max(overdue_answers * usual, check_latest * aim);
            if (waited < due) return timer(micros(due - waited), q.ask.id, TimerKind::attempt_check);
            if (++h.unanswered[cls] > 1) h.shunned[-1 - cls] = now_ + shun_for;
            if (q.attempts > 1) return;
        } else {
            const double due =
                std::max(silent_answers * usual / std::max(h.out, 1), check_earliest * aim);
            if (waited < due) return timer(micros(due - waited), q.ask.id, TimerKind::attempt_check);
            fail(h, eject_after);
            if (s_.classes[cls].idempotency != Idempotency::idempotent) return;
        }
        if (q.attempts >= s_.max_attempts || now_ >= q.latest_start) return;
        if (s_.may_hedge) return void(take_retry() && try_send(q));
        if (s_.may_cancel) actions_->push_back(CancelAttempt{q.ask.id, q.attempts - 1});
    }
    bool shuns(Host& h, int kind) { return now_ < h.shunned[kind]; }

    void on(const ClientDisconnected& e) {
        if (const auto it = requests_.find(e.id); it != requests_.end()) forget(it->second);
    }

    // ---- the list of hosts
    // ------------------------------------------------------------------------------

    void on(const EndpointsChanged& e) {
        for (auto& [name, h] : hosts_)
            if (e.complete) h.entry.status = EndpointStatus::removed;
        for (const EndpointEntry& entry : e.endpoints) {
            auto [it, fresh] = hosts_.try_emplace(entry.id);
            Host& h = it->second;
            if (fresh || entry.started_at != h.entry.started_at) {
                h.out = std::exchange(h, Host{}).out;
                h.looked_at = h.last_answer = now_;
                h.place = hash_name(entry.id + ' ' + std::to_string(s_.rank));
            }
            h.entry = entry;
            h.began = starts_.began(entry, now_);
        }
        std::erase_if(hosts_, [](const auto& h) {
            return h.second.entry.status == EndpointStatus::removed && h.second.out == 0;
        });
        list_hosts();
        pump();
    }

    void list_hosts() {
        order_.clear();
        warm_ = 0;
        for (auto& [name, h] : hosts_) {
            starts_.still_listed(name, now_);
            order_.push_back(&h);
            warm_ += h.entry.status == EndpointStatus::available && capacity_share(h) >= 1;
        }
        const auto before = [](const Host* a, const Host* b) { return a->place < b->place; };
        std::stable_sort(order_.begin(), order_.end(), before);
        for (auto& [id, q] : requests_)
            q.pair.clear();  // a host may be gone
    }

    void on(const PeerMessageReceived& m) { quota_.on_peer_message(m.from, m.bytes); }

    // ---- timers
    // -----------------------------------------------------------------------------------------

    void timer(Micros wait, RequestId id, TimerKind kind) {
        context_.start_timer(wait, kind, id);
    }

    void on(const TimerFired& t) {
        const auto kind = timer_kind(t.token);
        const std::uint64_t about = timer_subject(t.token);
        if (kind == TimerKind::lease_request) return quota_.on_lease_request_timeout(static_cast<std::uint32_t>(about));
        const int rank = static_cast<int>(about);
        if (kind == TimerKind::peer_outbox)
            return quota_.on_outbox_timer(rank);
        if (kind == TimerKind::heartbeat && about == 0) return beat();
        const auto it = requests_.find(about);
        if (it == requests_.end()) return pump();
        Request& q = it->second;
        if (kind == TimerKind::request_deadline)
            finish(q);
        else if (kind == TimerKind::pacing_delay)
            dispatch(q);
        else if (kind == TimerKind::queue_timeout && q.waiting)
            q.rounds = 0, dispatch(q);
        else if (kind == TimerKind::attempt_check)
            check(q);
        else if (kind == TimerKind::health_check && q.probing)
            choose(q);
        pump();
    }

    // A beat far too late tells of an own stall: in the backlog found with it waiting looks like
    // others' silence and answers look slow, so nothing is judged by it. Harms where real silence
    // falls into one.
    bool stalled() const { return context_.stall_detector.stalled(now_); }
    void beat() {
        context_.stall_detector.on_heartbeat(now_);
        timer(beat_period, 0, TimerKind::heartbeat);
        quota_.on_heartbeat();
        if (now_ - swept_at_ < sweep_period) return;
        swept_at_ = now_;
        starts_.forget_old(now_);
        list_hosts();  // and ages out who is idle; a customer that still has requests in hand stays
        quota_.remove_idle();
    }

    DecisionContext context_;
    const Settings& s_ = context_.settings;
    const Micros& now_ = context_.now;
    std::mt19937_64 random_;
    QuotaManager quota_;
    SlowStartTracker starts_;
    Actions* actions_ = nullptr;
    Micros swept_at_{0};
    double& answer_s_ = context_.traffic.mean_response_s;
    double& mean_units_ = context_.traffic.mean_units;
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::string, Host> hosts_;
    std::deque<RequestId> waiting_;
    std::vector<Host*> order_;  // all hosts, in this gateway's own order
    std::size_t warm_ = 0;
    Micros sent_at_{0};
    DecayingCounter warm_sent_, warm_time_, work_out_, retry_earned_, retry_spent_;
    double slow_share_ = 0, warm_rate_ = 0,
           limit_ = limit_least;
    int out_ = 0;  // own attempts out
    bool pressed_ = false;
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

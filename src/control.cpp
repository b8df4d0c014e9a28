// Every decision of the gateway and every tuned constant. Types, events and actions: silverreach/interface.h
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <stdexcept>
#include <unordered_map>

#include "peer_message.h"
#include "silverreach/interface.h"

namespace silverreach {
namespace {
using namespace std::chrono_literals;
using Actions = std::vector<Action>;

// ---- tuned constants, each with its unit and reason ------------------------------------------------------
constexpr double cold_factor = 3;   // SmoothWarmingUp's coldInterval / stableInterval, by the design
constexpr double use_memory_s = 2;  // memory of recent use; shares follow busiest-gateway shifts of seconds
constexpr double even_prior_s = 0.25;   // seconds of quota at even split blended into every share
constexpr double debt_most = 0.25;      // told use may push a store this part of its burst below empty
constexpr Micros silence_starts = 1s;   // a peer is told several times a second; this is many losses in a row
constexpr Micros silence_full = 3s;     // by then the share is the even split
constexpr Micros news_period = 125ms;   // pace of messages: far below spike lengths, cheap in bytes
constexpr double mail_share = 0.9;      // part of a peer's intake that news may fill
constexpr int news_repeats = 2;         // messages that carry one change, against loss
constexpr Micros idle_after = 60s;      // idle customers age out; their stores are full long before
constexpr double stranger_most = 50;    // units that one word on a customer not seen here may count
constexpr Micros sweep_period = 5s;     // how often ageing runs
constexpr double slow_part = 0.5;       // an answer slower than this part of its aim counts as slow
constexpr double slow_weight = 0.04;    // weight of one answer in the slow share
constexpr double pressed_above = 0.25;  // slow or full share at which the back end looks pressed
constexpr double relieved_below = 0.20;        // and at which it no longer does
constexpr double room_below = 0.08;            // slow share under which there is room for more than quotas
constexpr double answer_weight = 0.05;         // weight of one answer in a host's and the fleet's answer time
constexpr double waiting_for_each_host = 0.5;  // requests that may wait here, for each host listed
constexpr double margin_answers = 1.3;         // time kept for the answer when held, in mean answer times
constexpr double margin_most = 0.8;            // and at most this part of the aim
constexpr double limit_start = 3;   // attempts out at one host, by all gateways, before anything is known
constexpr double limit_least = 2;   // by all gateways; fewer would leave most hosts' cores idle
constexpr double limit_most = 128;  // more in flight at one host never helps
constexpr double limit_growth =
    1;                             // added over the limit for each good answer near it, however many gateways
constexpr double limit_cut = 0.9;  // cut on an answer near its aim, timeout or full
constexpr double limit_slow_part = 0.25;  // answer time as part of the aim that cuts the limit
constexpr double ghost_memory_s =
    1;  // a timed-out attempt goes on filling its place at the host about this long
constexpr Micros limit_pause = 100ms;    // one cut for one cause
constexpr double silent_answers = 3.5;   // expected answers missing when silence is evidence (e^-3.5 = 3%)
constexpr double check_earliest = 0.25;  // silence is looked for between these parts of the aim
constexpr double check_latest = 0.55;
constexpr int eject_after = 3;         // failures in a row that eject a host
constexpr Micros eject_first = 500ms;  // first ejection, doubled with each further one
constexpr Micros eject_most = 8s;
constexpr Micros full_pause = 60ms;    // a full host is left alone this long
constexpr double retry_share = 0.15;   // further attempts earned by each first one
constexpr double retry_floor = 5;      // further attempts always allowed in that memory
constexpr double retry_memory_s = 10;  // memory of first and further attempts
constexpr double cold_caution = 0.8;   // part of the even share, scaled to its capacity, a cold host may get
constexpr double cold_at_once = 1.5;   // mean requests a cold host may get in one go
constexpr double warm_memory_s = 5;    // memory of the rate that warm hosts carry
constexpr Micros told_out_valid = 600ms;  // a peer's word on its attempts out is forgotten after this

enum TimerKind : std::uint64_t {
    deadline_timer,
    release_timer,
    check_timer,
    expiry_timer,
    news_timer,
    sweep_timer
};
constexpr std::uint64_t timer_kinds = 8;

double seconds(Micros t) {
    return static_cast<double>(t.count()) / 1e6;
}
Micros micros(double s) {
    return Micros(static_cast<std::int64_t>(std::clamp(s, 0.0, 4e3) * 1e6));
}

// An amount that fades with a fixed memory; over that memory it reads as a rate.
struct Fading {
    double amount = 0;
    Micros at{0};
    double value(Micros now, double memory_s) const {
        return amount * std::exp(-seconds(now - at) / memory_s);
    }
    void add(double x, Micros now, double memory_s) {
        amount = value(now, memory_s) + x;
        at = now;
    }
};

// Guava's SmoothWarmingUp for one customer at this gateway. Starts full, hence slow; the next caller pays.
struct WarmUpLimiter {
    double stored = -1;  // below 0: not started, that is full
    Micros next_free{0};

    static double max_permits(double stable_s, double warmup_s) {
        const double threshold = 0.5 * warmup_s / stable_s;
        return threshold + 2 * warmup_s / (stable_s + cold_factor * stable_s);
    }
    void resync(Micros now, double stable_s, double warmup_s) {
        const double most = max_permits(stable_s, warmup_s);
        if (stored < 0) stored = most, next_free = now;
        if (now <= next_free) return;
        stored = std::min(most, stored + seconds(now - next_free) * most / warmup_s);
        next_free = now;
    }
    void reserve(double permits, double stable_s, double warmup_s) {
        const double threshold = 0.5 * warmup_s / stable_s;
        const double slope = (cold_factor - 1) * stable_s / (max_permits(stable_s, warmup_s) - threshold);
        const double spent = std::min(permits, stored);
        const double above = std::max(0.0, stored - threshold);
        const double steep = std::min(above, spent);
        const double climb = steep * (2 * stable_s + slope * (2 * above - steep)) / 2;
        next_free += micros(climb + stable_s * (spent - steep) + stable_s * (permits - spent));
        stored -= spent;
    }
};

// What peers told of one customer's use.
struct ToldUse {
    struct Of {
        int peer;
        std::uint32_t life, total;
    };
    std::vector<Of> of;
    Fading recent;
    // Units since the peer's last word in this life; older words that come late count nothing.
    double take(int peer, std::uint32_t life, std::uint32_t total, double most, Micros now) {
        auto it = std::find_if(of.begin(), of.end(), [&](const Of& o) { return o.peer == peer; });
        if (it == of.end()) it = of.insert(it, {peer, life, 0});
        if (it->life != life) *it = {peer, life, 0};
        const std::uint32_t step = (total - it->total) % total_modulus;
        if (step >= total_modulus / 2) return 0;
        it->total = total;
        const double units = std::min(step / 16.0, most);
        recent.add(units, now, use_memory_s);
        return units;
    }
};

struct Customer {
    std::uint32_t hash = 0;
    int plan = -1, set_size = 1, set_start = 0;
    Micros touched{0}, last_use{0};
    double level = 0;     // plain store: units of the quota this gateway may still send on
    double withheld = 0;  // refill kept back for the other gateways until they tell their use
    Micros withheld_since{0};
    Fading own;               // recent use here
    ToldUse told;             // and elsewhere
    std::uint32_t total = 0;  // sixteenths of units sent on inside the quota, as told to peers
    int tell = 0;             // messages that still have to carry it
    double hard_level = 0, hard_reserved = 0;  // this gateway's own part of the ceiling
    int open = 0;                              // attempts out
    int requests = 0;                          // requests in hand
    WarmUpLimiter limiter;
};

struct Host {
    HostEntry entry;
    int out = 0;  // own attempts out
    double out_limit = limit_start;
    Micros last_cut{0}, last_answer{0}, blocked_until{0};
    Fading ghosts;        // attempts timed out that the host may still work on
    double answer_s = 0;  // mean answer time; 0: none seen
    int failures = 0, ejections = 0;
    double cold_tokens = 0;
    Micros cold_at{0};
    std::vector<std::pair<int, Micros>> told_out;  // by peer: attempts out and when told
};

struct Request {
    RequestArrived ask;
    Customer* customer = nullptr;
    Micros arrived{0}, deadline{0}, latest_start{0};
    bool in_quota = true, sent = false, held = false, waiting = false, maybe_ran = false;
    int attempts = 0, out = 0;
    Micros last_sent{0}, first_maybe{0};
    std::string last_host;
    std::string group_zone;
    std::int64_t group_cell = 0;
};

// How answer times grow with a request's units, learned from answers: a line through faded moments.
struct AnswerTime {
    double weight = 0, units = 0, time = 0, units_units = 0, units_time = 0;
    void add(double k, double t) {
        weight += answer_weight * (1 - weight);
        units += answer_weight * (k - units);
        time += answer_weight * (t - time);
        units_units += answer_weight * (k * k - units_units);
        units_time += answer_weight * (k * t - units_time);
    }
    double expected(double k) const {
        if (weight <= 0) return 0;
        const double mean_k = units / weight, mean_t = time / weight;
        const double spread = units_units / weight - mean_k * mean_k;
        const double slope = spread > 1e-9 ? (units_time / weight - mean_k * mean_t) / spread : 0;
        return mean_t + std::max(0.0, slope) * (k - mean_k);
    }
};
}  // namespace

class Gateway::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : s_(std::move(settings)), random_(seed), boot_(now) {
        if (s_.instances < 1 || s_.rank < 0 || s_.rank >= s_.instances)
            throw std::invalid_argument("settings: rank must lie within instances");
        if (s_.max_attempts < 1) throw std::invalid_argument("settings: max_attempts must be 1 at least");
        for (const Plan& p : s_.plans)
            if (!(p.rate >= 0 && p.burst >= 0 && p.hard_rate >= 0 && p.hard_burst >= 0))
                throw std::invalid_argument("settings: plan figures must not be negative");
        for (const RequestClass& c : s_.classes)
            if (c.deadline <= 0us || c.aim <= 0us)
                throw std::invalid_argument("settings: a class needs an aim and a deadline above 0");
        life_ = static_cast<std::uint32_t>(random_());
        heard_.assign(static_cast<std::size_t>(s_.instances), now);
    }

    void handle(Micros now, const Event& event, Actions& actions) {
        now_ = now;
        actions_ = &actions;
        if (!started_) start();
        std::visit([this](const auto& e) { on(e); }, event);
    }

  private:
    // ---- quotas ---------------------------------------------------------------------------------------

    const Plan* plan_of(const Customer& c) const { return c.plan < 0 ? nullptr : &s_.plans[c.plan]; }

    // When the quietest other gateway of the customer's set was last heard.
    Micros oldest_news(const Customer& c) const {
        Micros oldest = now_;
        for (int i = 0; i < c.set_size; ++i) {
            const int rank = (c.set_start + i) % s_.instances;
            if (rank != s_.rank) oldest = std::min(oldest, heard_[static_cast<std::size_t>(rank)]);
        }
        return oldest;
    }

    double silence(Micros oldest) const {
        return std::clamp(seconds(now_ - oldest - silence_starts) / seconds(silence_full - silence_starts),
                          0.0, 1.0);
    }

    // This gateway's slice of the quota: its part of the recent use as others tell, blended with the even
    // split; silence of a peer moves it to the even split.
    double share(const Customer& c, const Plan& p, double silent) const {
        const double n = c.set_size;
        const double prior = even_prior_s * p.rate;
        const double own = c.own.value(now_, use_memory_s), others = c.told.recent.value(now_, use_memory_s);
        const double part = (own + prior / n) / (own + others + prior);
        return (1 - silent) * part + silent / n;
    }

    // Brings the stores up to now. The plain store refills at the slice; the rest of the quota is withheld
    // for the other gateways and released once all of them have been heard, less what they told (debited
    // as it comes). Extends the design where shares move faster than a slice's store can follow. Guards
    // against skew, shifts and spikes; should hold against any unevenness; harms when peers lie low but spend
    // (bounded by one burst each).
    void touch(Customer& c) {
        const Plan* p = plan_of(c);
        const double dt = seconds(now_ - c.touched);
        c.touched = now_;
        if (!p) return;
        const double n = c.set_size;
        if (p->hard_rate > 0)
            c.hard_level = std::min(p->hard_burst / n, c.hard_level + dt * p->hard_rate / n);
        if (p->rate <= 0) return;
        const Micros oldest = oldest_news(c);
        const double silent = silence(oldest), part = share(c, *p, silent);
        c.level += p->rate * part * dt;
        c.withheld += p->rate * (1 - part) * dt;
        if (oldest > c.withheld_since) {
            const double span = seconds(now_ - c.withheld_since);
            const double freed = c.withheld * std::min(1.0, seconds(oldest - c.withheld_since) / span);
            c.level += freed;
            c.withheld -= freed;
            c.withheld_since = oldest;
        }
        const double most = std::max(p->burst * (1 - silent + silent / n), 1.0);
        c.level = std::min(c.level, most);
        c.withheld = std::min(c.withheld, p->burst);
    }

    Customer& customer(const RequestArrived& r) {
        auto [it, fresh] = customers_.try_emplace(r.customer);
        Customer& c = it->second;
        const int set = std::clamp(r.set_size, 1, s_.instances);
        if (fresh) {
            c.hash = name_hash(r.customer);
            c.plan = r.plan;
            c.set_size = set;
            c.touched = c.withheld_since = boot_;
            by_hash_[c.hash] = &c;
            // Stores count from the start of this instance: the plain one from the even slice of the burst,
            // the ceiling's part from nothing, for a former life may have spent it all.
            if (const Plan* p = plan_of(c)) c.level = p->burst / set;
        }
        c.set_start = r.set_start % s_.instances;
        c.set_size = std::max(c.set_size, set);
        c.last_use = now_;
        touch(c);
        // New here but known to peers: what they told of it has thinned the store in the part that their use
        // is of the quota. Guards against a full store at every gateway a heavy customer comes to.
        if (const auto known = fresh ? strangers_.find(c.hash) : strangers_.end();
            known != strangers_.end()) {
            c.told = std::move(known->second);
            strangers_.erase(known);
            if (const Plan* p = plan_of(c); p && p->rate > 0)
                c.level *=
                    std::max(0.0, 1 - c.told.recent.value(now_, use_memory_s) / (use_memory_s * p->rate));
        }
        return c;
    }

    double useful_left(const RequestArrived& r) const {
        return seconds(std::min(r.time_left, s_.classes[r.request_class].aim));
    }

    bool room() const { return !pressed_ && slow_share_ < room_below && waiting_.empty(); }

    // Decides on one request: the plain store always, the split slice with warm-up cost while pressed.
    void on(const RequestArrived& r) {
        if (r.request_class < 0 || r.request_class >= static_cast<int>(s_.classes.size()) ||
            r.plan >= static_cast<int>(s_.plans.size()) || requests_.count(r.id))
            return;
        if (r.time_left <= 0us) return refuse_new(r, 0us);
        Customer& c = customer(r);
        Request q;
        q.ask = r;
        q.ask.units = std::max(0.0, r.units);
        q.customer = &c;
        q.arrived = now_;
        q.deadline = now_ + r.time_left;
        const double left = useful_left(r);
        q.latest_start = now_ + micros(left - std::clamp(margin_answers * by_units_.expected(r.units), 0.0,
                                                         margin_most * left));
        const double k = q.ask.units;
        Micros wait{0};
        if (const Plan* p = plan_of(c)) {
            const double n = c.set_size;
            const double part = p->rate > 0 ? share(c, *p, silence(oldest_news(c))) : 1;
            if (p->rate > 0 && c.level < k) q.in_quota = false;
            if (p->max_open > 0 && c.open >= std::max(1, static_cast<int>(p->max_open * part + 0.5)))
                q.in_quota = false;
            if (!q.in_quota && !(p->excess_worth > p->excess_cost && room()))
                return refuse_new(r, p->rate > 0 ? micros((k - c.level) / (p->rate * part)) : answer_time());
            const double hard = c.hard_level - c.hard_reserved;
            if (p->hard_rate > 0 && hard < k) return refuse_new(r, micros((k - hard) / (p->hard_rate / n)));
            if (pressed_ && p->rate > 0 && p->burst > 0) {
                const double stable_s = n / p->rate, warmup_s = p->burst / p->rate;
                c.limiter.resync(now_, stable_s, warmup_s);
                wait = c.limiter.next_free - now_;
                if (now_ + wait > q.latest_start) return refuse_new(r, wait);
                c.limiter.reserve(k, stable_s, warmup_s);
            }
            if (q.in_quota) spend(c, k);
            if (p->hard_rate > 0) c.hard_reserved += k;
        }
        ++c.requests;
        Request& kept = requests_.emplace(r.id, std::move(q)).first->second;
        timer(r.time_left - 2 * s_.tick, r.id, deadline_timer);
        if (wait > 0us) {
            kept.held = true;
            timer(wait, r.id, release_timer);
        } else {
            dispatch(kept);
        }
    }

    void refuse_new(const RequestArrived& r, Micros wait) { actions_->push_back(Refuse{r.id, advice(wait)}); }
    Micros advice(Micros wait) const { return s_.may_advise_retry ? wait : 0us; }

    void spend(Customer& c, double units) {
        c.level -= units;
        c.own.add(units, now_, use_memory_s);
        c.total = (c.total + static_cast<std::uint32_t>(std::llround(units * 16))) % total_modulus;
        if (c.set_size > 1 && s_.may_message) {
            if (c.tell == 0) to_tell_.push_back(c.hash);
            c.tell = news_repeats;
        }
    }

    // A request that was admitted but never sent gives its units back.
    void give_back(Request& q) {
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        if (!p || q.sent) return;
        if (q.in_quota) c.level += q.ask.units;
        if (p->hard_rate > 0) c.hard_reserved -= q.ask.units;
    }

    // ---- choice of a host -------------------------------------------------------------------------------

    double capacity_share(const Host& h) const {
        if (h.entry.started <= 0us || s_.cold_time <= 0us) return 1;
        const double age = seconds(now_ - h.entry.started) / seconds(s_.cold_time);
        return age >= 1 ? 1 : s_.start_capacity + (1 - s_.start_capacity) * std::max(0.0, age);
    }

    // A cold host gets its own small budget: the even share of what warm hosts get from here, scaled to the
    // capacity it is sure to have. Each instance keeps to its part, so together they stay below the multiple
    // that fells it. Guards against herds on restarted hosts; holds for probes and retries too; harms if most
    // of the fleet is cold.
    void refill_cold(Host& h) {
        const double rate =
            cold_caution * std::min(1.0, s_.fall_multiple / 2) * capacity_share(h) * warm_rate_;
        h.cold_tokens =
            std::min(cold_at_once * mean_units_, h.cold_tokens + rate * seconds(now_ - h.cold_at));
        h.cold_at = now_;
    }

    // Own attempts at a host, with those given up that it cannot be assumed to have stopped. Guards against
    // filling a host with unseen work; harms where a time-out did stop the work (it then stands idle for the
    // memory's length).
    double busy(const Host& h) const { return h.out + h.ghosts.value(now_, ghost_memory_s); }

    // Attempts out at a host by all gateways: own ones, those that peers told, and for a silent peer as many
    // as here. The limit is on this sum: limits of each gateway's own would add up with their number and
    // overdrive hosts.
    double load(const Host& h) const {
        double told = 0;
        int silent = s_.instances - 1;
        for (const auto& [count, when] : h.told_out)
            if (when > 0us && now_ - when < told_out_valid) told += count, --silent;
        return busy(h) * (1 + silent) + told;
    }

    bool in_group(const Request& q, const Host& h) const {
        if (!q.maybe_ran) return true;
        const RequestClass& k = s_.classes[q.ask.request_class];
        if (k.effect == Effect::safe) return true;
        if (k.effect == Effect::unsafe || now_ - q.first_maybe >= k.repeat_window) return false;
        if (k.repeat_scope == RepeatScope::all) return true;
        return k.repeat_scope == RepeatScope::zone ? h.entry.zone == q.group_zone
                                                   : h.entry.cell == q.group_cell;
    }

    Host* pick(const Request& q) {
        Host* best = nullptr;
        double best_cost = 0;
        for (auto& [name, h] : hosts_) {
            if (h.entry.state != HostState::up || now_ < h.blocked_until) continue;
            if (h.ejections > 0 && h.failures > 0 && h.out > 0) continue;  // one trial at a time
            if (!in_group(q, h)) continue;
            const double held = load(h);
            if (held >= h.out_limit) continue;
            const double warm = capacity_share(h);
            if (warm < 1) {
                refill_cold(h);
                if (h.cold_tokens <= 0) continue;
            }
            const double answer = h.answer_s > 0 ? h.answer_s : std::max(answer_s_, 1e-3);
            double cost = (held + 1) * answer / (std::max(h.entry.weight, 1e-3) * warm);
            if (h.entry.zone != s_.zone) cost *= 1 + 5 * s_.cross_zone_cost;
            if (name == q.last_host) cost *= 4;
            cost *= 0.95 + 0.1 * (static_cast<double>(random_() >> 11) * 0x1p-53);
            if (!best || cost < best_cost) best = &h, best_cost = cost;
        }
        return best;
    }

    // Sends if a host can take it; else the request waits for one until its latest start.
    bool try_send(Request& q) {
        Host* h = pick(q);
        if (!h) return false;
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        if (!q.sent && p && p->hard_rate > 0) {
            touch(c);
            c.hard_level -= q.ask.units;
            c.hard_reserved -= q.ask.units;
        }
        if (!q.sent) retry_earned_.add(1, now_, retry_memory_s);
        q.sent = true;
        q.held = q.waiting = false;
        ++q.attempts;
        ++q.out;
        ++c.open;
        q.last_host = h->entry.host;
        q.last_sent = now_;
        note_sent(*h, q.ask.units);
        actions_->push_back(SendAttempt{q.ask.id, h->entry.host, std::max(q.deadline - now_, 1us)});
        const double aim = seconds(s_.classes[q.ask.request_class].aim);
        timer(micros(std::clamp(silent_answers * answer_s_, check_earliest * aim, check_latest * aim)),
              q.ask.id, check_timer);
        return true;
    }

    void note_sent(Host& h, double units) {
        if (h.out++ == 0) h.last_answer = now_;
        mean_units_ += answer_weight * (units - mean_units_);
        if (capacity_share(h) < 1) {
            h.cold_tokens -= units;
            return;
        }
        warm_sent_.add(units, now_, warm_memory_s);
        int warm = 0;
        for (const auto& [name, other] : hosts_)
            warm += other.entry.state == HostState::up && capacity_share(other) >= 1;
        if (2 * warm >= static_cast<int>(hosts_.size()))
            warm_rate_ = warm_sent_.value(now_, warm_memory_s) / (warm_memory_s * std::max(1, warm));
    }

    void dispatch(Request& q) {
        q.held = false;
        if (now_ <= q.latest_start && try_send(q)) return;
        if (now_ >= q.latest_start) return finish(q);
        q.waiting = true;
        waiting_.push_back(q.ask.id);
        timer(q.latest_start - now_, q.ask.id, expiry_timer);
        shorten_line();
    }

    // Of more that wait than hosts could soon take, the oldest is answered now, so that its client can come
    // again in time. Guards against a line that only ages; harms if many places come free at once.
    void shorten_line() {
        const auto most =
            static_cast<std::size_t>(waiting_for_each_host * static_cast<double>(hosts_.size())) + 1;
        if (waiting_.size() <= most) return;
        const auto it = requests_.find(waiting_.front());
        waiting_.pop_front();
        if (it != requests_.end() && it->second.waiting) finish(it->second);
    }

    // Lets waiting requests go while hosts have room, newest first: in overload a queue served in order makes
    // every request leave at its last moment and finish late; served from its fresh end, those sent can still
    // be in time. Guards against any lasting shortage of hosts; harms the few that wait in a short one.
    void pump() {
        for (std::size_t i = waiting_.size(); i-- > 0;) {
            const auto it = requests_.find(waiting_[i]);
            const bool waits = it != requests_.end() && it->second.waiting;
            if (waits && !(now_ <= it->second.latest_start && try_send(it->second))) {
                if (!it->second.maybe_ran) return;
                continue;
            }
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    // Final answer: a refusal where it is sure or harmless that nothing ran, else a failure.
    void finish(Request& q) {
        const RequestClass& k = s_.classes[q.ask.request_class];
        const bool harmless = k.effect == Effect::safe || !(q.maybe_ran || q.out > 0) ||
                              (k.effect == Effect::keyed && k.repeat_scope == RepeatScope::all && q.out == 0);
        if (harmless)
            actions_->push_back(Refuse{q.ask.id, advice(q.sent ? 0us : answer_time())});
        else
            actions_->push_back(Fail{q.ask.id});
        forget(q);
    }
    void forget(Request& q) {
        give_back(q);
        --q.customer->requests;
        requests_.erase(q.ask.id);
    }
    Micros answer_time() const { return micros(answer_s_); }

    // ---- outcomes and health ----------------------------------------------------------------------------

    void judge(Host& h, const AttemptEnded& a, double aim_s) {
        const bool good = a.outcome == Outcome::good;
        const double took = seconds(a.took);
        if (good || a.outcome == Outcome::error) h.last_answer = now_;
        if (good) {
            h.failures = h.ejections = 0;
            h.answer_s = h.answer_s > 0 ? h.answer_s + answer_weight * (took - h.answer_s)
                                        : (answer_s_ > 0 ? 0.8 * answer_s_ + 0.2 * took : took);
            answer_s_ = answer_s_ > 0 ? answer_s_ + answer_weight * (took - answer_s_) : took;
        }
        // A time-out tells only that the answer takes longer than the client had: it counts as slow or bad by
        // its length, and as the host's failure only if the host was silent all along. Guards against clients
        // of little patience and costly requests putting good hosts out; harms where a host fails some
        // requests by silence.
        const bool late = a.outcome == Outcome::timeout, silent = late && h.last_answer + a.took < now_;
        const bool bad = a.outcome == Outcome::full || (late && took > limit_slow_part * aim_s);
        if (bad || (good && took > limit_slow_part * aim_s)) {
            if (now_ - h.last_cut >= limit_pause)
                h.out_limit = std::max(limit_least, h.out_limit * limit_cut), h.last_cut = now_;
        } else if (good && load(h) + 2 > h.out_limit) {
            h.out_limit = std::min(limit_most, h.out_limit + limit_growth / h.out_limit);
        }
        if (good || late || bad) {
            slow_share_ +=
                slow_weight * ((a.outcome == Outcome::full || took > slow_part * aim_s) - slow_share_);
            pressed_ = slow_share_ > (pressed_ ? relieved_below : pressed_above);
        }
        if (a.outcome == Outcome::timeout || a.outcome == Outcome::cancelled)
            h.ghosts.add(1, now_, ghost_memory_s);
        if (a.outcome == Outcome::full) h.blocked_until = std::max(h.blocked_until, now_ + full_pause);
        // Outlier ejection: answers any run of failures, fast or slow. Harms if all hosts fail for one
        // client's sake.
        if (a.outcome == Outcome::error || silent) fail(h, 1);
        if (a.outcome == Outcome::connect_failed || a.outcome == Outcome::reset) fail(h, eject_after);
    }
    void fail(Host& h, int weight) {
        h.failures += weight;
        if (h.failures < eject_after || now_ < h.blocked_until) return;
        h.blocked_until = now_ + std::min(eject_most, eject_first * (1 << std::min(h.ejections, 4)));
        ++h.ejections;
    }

    void on(const AttemptEnded& a) {
        const auto host = hosts_.find(a.host);
        const auto found = requests_.find(a.id);
        if (host != hosts_.end()) {
            host->second.out = std::max(0, host->second.out - 1);
            const double aim =
                found == requests_.end() ? aim_s() : seconds(s_.classes[found->second.ask.request_class].aim);
            judge(host->second, a, aim);
            if (a.outcome == Outcome::good || a.outcome == Outcome::timeout)
                by_units_.add(found == requests_.end() ? mean_units_ : found->second.ask.units,
                              seconds(a.took));
        }
        if (found != requests_.end()) {
            Request& q = found->second;
            q.out = std::max(0, q.out - 1);
            q.customer->open = std::max(0, q.customer->open - 1);
            if (a.true_units > 0 && s_.units_settled_later && q.in_quota)
                q.customer->level += q.ask.units - a.true_units;
            const bool never_ran = a.outcome == Outcome::full || a.outcome == Outcome::connect_failed ||
                                   a.outcome == Outcome::moot;
            if (a.settled)
                forget(q);
            else {
                if (!never_ran && !q.maybe_ran) {
                    q.maybe_ran = true;
                    q.first_maybe = q.last_sent;
                    if (host != hosts_.end())
                        q.group_zone = host->second.entry.zone, q.group_cell = host->second.entry.cell;
                }
                if (q.out == 0) again(q);
            }
        }
        pump();
    }
    double aim_s() const { return s_.classes.empty() ? 1 : seconds(s_.classes.front().aim); }

    // A further attempt, only from the retry budget and only if it can still be in time.
    void again(Request& q) {
        const RequestClass& k = s_.classes[q.ask.request_class];
        const bool allowed = !q.maybe_ran || k.effect == Effect::safe ||
                             (k.effect == Effect::keyed && now_ - q.first_maybe < k.repeat_window);
        if (!allowed || q.attempts >= s_.max_attempts || now_ >= q.latest_start || !take_retry())
            return finish(q);
        dispatch(q);
    }
    bool take_retry() {
        const double earned = retry_earned_.value(now_, retry_memory_s) * retry_share + retry_floor;
        if (retry_spent_.value(now_, retry_memory_s) + 1 > earned) return false;
        retry_spent_.add(1, now_, retry_memory_s);
        return true;
    }

    // Looks whether a host fell silent under an attempt: expected answers missing, whatever the cause. Then a
    // second copy, or where none may be out a cancel, and the host is ejected. Guards against silent death,
    // cut links and stalls; harms when a slow request is alone on a host (then the evidence needs longer).
    void check(Request& q) {
        if (q.out == 0 || q.waiting) return;
        const auto it = hosts_.find(q.last_host);
        if (it == hosts_.end()) return;
        Host& h = it->second;
        const double quiet = seconds(now_ - std::max(h.last_answer, q.last_sent));
        const double missing = h.out * quiet / std::max(h.answer_s > 0 ? h.answer_s : answer_s_, 1e-3);
        if (missing < silent_answers || quiet < check_earliest * aim_s()) return;
        fail(h, eject_after);
        if (s_.classes[q.ask.request_class].effect != Effect::safe || q.attempts >= s_.max_attempts ||
            now_ >= q.latest_start)
            return;
        if (s_.second_copies) {
            if (take_retry()) try_send(q);
        } else if (s_.may_cancel) {
            actions_->push_back(CancelAttempt{q.ask.id, q.attempts - 1});
        }
    }

    void on(const ProbeEnded&) {}
    void on(const ClientLeft& e) {
        if (const auto it = requests_.find(e.id); it != requests_.end()) forget(it->second);
    }

    // ---- the list of hosts ------------------------------------------------------------------------------

    void on(const HostsChanged& e) {
        if (e.whole_list)
            for (auto& [name, h] : hosts_) h.entry.state = HostState::gone;
        for (const HostEntry& entry : e.entries) {
            auto [it, fresh] = hosts_.try_emplace(entry.host);
            Host& h = it->second;
            if (fresh || entry.started != h.entry.started) {
                const int out = h.out;
                h = Host{};
                h.out = out;
                h.cold_at = h.last_answer = now_;
            }
            h.entry = entry;
        }
        std::erase_if(hosts_, [](const auto& h) {
            return h.second.entry.state == HostState::gone && h.second.out == 0;
        });
        pump();
    }

    // ---- news among gateways ----------------------------------------------------------------------------

    void on(const MessageArrived& m) {
        if (m.from < 0 || m.from >= s_.instances || m.from == s_.rank) return;
        const auto news = unpack(m.bytes);
        if (!news) return;
        heard_[static_cast<std::size_t>(m.from)] = now_;
        for (const PeerUse& use : news->uses) {
            const auto it = by_hash_.find(use.customer);
            if (it == by_hash_.end()) {
                strangers_[use.customer].take(m.from, news->life, use.total, stranger_most, now_);
                continue;
            }
            Customer& c = *it->second;
            const Plan* p = plan_of(c);
            if (!p) continue;
            touch(c);
            const double units = c.told.take(m.from, news->life, use.total, p->burst, now_);
            if (units <= 0) continue;
            // What was withheld for the others pays first; a debit cut at an empty store would be forgotten.
            const double kept_back = std::min(c.withheld, units);
            c.withheld -= kept_back;
            c.level = std::max(std::min(c.level, -debt_most * p->burst), c.level - (units - kept_back));
        }
        for (auto& [name, h] : hosts_) {
            h.told_out.resize(static_cast<std::size_t>(s_.instances));
            auto& told = h.told_out[static_cast<std::size_t>(m.from)];
            told = {0, now_};
            const auto key = static_cast<std::uint16_t>(name_hash(name));
            for (const PeerOutstanding& o : news->hosts)
                if (o.host == key) told.first = o.count;
        }
    }

    void tell_news() {
        PeerNews news;
        news.life = life_;
        news.sequence = sequence_++;
        for (const auto& [name, h] : hosts_)
            if (h.out > 0 && news.hosts.size() < 40)
                news.hosts.push_back({static_cast<std::uint16_t>(name_hash(name)),
                                      static_cast<std::uint8_t>(std::min(h.out, 255))});
        const std::size_t room = uses_that_fit(news.hosts.size());
        std::deque<std::uint32_t> later;
        while (!to_tell_.empty() && news.uses.size() < room) {
            const std::uint32_t hash = to_tell_.front();
            to_tell_.pop_front();
            const auto it = by_hash_.find(hash);
            if (it == by_hash_.end()) continue;
            Customer& c = *it->second;
            news.uses.push_back({hash, c.total});
            c.tell = to_tell_.size() > room ? 0 : c.tell - 1;  // no repeats while news is waiting
            if (c.tell > 0) later.push_back(hash);
        }
        to_tell_.insert(to_tell_.end(), later.begin(), later.end());
        actions_->push_back(SendMessage{-1, pack(news)});
    }

    // ---- timers -----------------------------------------------------------------------------------------

    void timer(Micros wait, RequestId id, TimerKind kind) {
        actions_->push_back(SetTimer{std::max(wait, 1us), id * timer_kinds + kind});
    }

    void start() {
        started_ = true;
        if (s_.may_message && s_.instances > 1)
            timer(news_period * static_cast<int>(1 + random_() % 100) / 100, 0, news_timer);
        timer(sweep_period, 0, sweep_timer);
    }

    void on(const TimerFired& t) {
        const auto kind = static_cast<TimerKind>(t.token % timer_kinds);
        if (kind == news_timer) {
            tell_news();
            const double least = (s_.instances - 1) / std::max(1.0, s_.messages_per_s * mail_share);
            return timer(std::max(news_period, micros(least)), 0, news_timer);
        }
        if (kind == sweep_timer) {
            sweep();
            return timer(sweep_period, 0, sweep_timer);
        }
        const auto it = requests_.find(t.token / timer_kinds);
        if (it == requests_.end()) return pump();
        Request& q = it->second;
        if (kind == deadline_timer)
            finish(q);
        else if (kind == release_timer && q.held)
            dispatch(q);
        else if (kind == expiry_timer && q.waiting && now_ >= q.latest_start)
            finish(q);
        else if (kind == check_timer)
            check(q);
        pump();
    }

    // Ages out idle customers; one that still has requests in hand stays.
    void sweep() {
        std::erase_if(strangers_, [this](const auto& s) { return now_ - s.second.recent.at >= idle_after; });
        for (auto it = customers_.begin(); it != customers_.end();) {
            Customer& c = it->second;
            if (now_ - c.last_use < idle_after || c.requests > 0) {
                ++it;
                continue;
            }
            if (const auto h = by_hash_.find(c.hash); h != by_hash_.end() && h->second == &c)
                by_hash_.erase(h);
            it = customers_.erase(it);
        }
    }

    Settings s_;
    std::mt19937_64 random_;
    Micros boot_, now_{0};
    Actions* actions_ = nullptr;
    bool started_ = false;
    std::uint32_t life_ = 0;
    std::uint16_t sequence_ = 0;
    std::unordered_map<std::string, Customer> customers_;
    std::unordered_map<std::uint32_t, Customer*> by_hash_;
    std::unordered_map<std::uint32_t, ToldUse> strangers_;  // told by peers, not yet seen here
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::string, Host> hosts_;
    std::vector<Micros> heard_;  // by rank: when that gateway was last heard
    std::deque<RequestId> waiting_;
    std::deque<std::uint32_t> to_tell_;
    Fading warm_sent_, retry_earned_, retry_spent_;
    double answer_s_ = 0, slow_share_ = 0, mean_units_ = 1, warm_rate_ = 0;
    AnswerTime by_units_;
    bool pressed_ = false;
};

Gateway::Gateway(Settings settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace silverreach

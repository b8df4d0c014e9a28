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
#include "decisions/quota/lease_codec.h"
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

enum class TimerKind : std::uint64_t {
    deadline,
    release,
    check,
    expiry,
    part,
    probe,
    flush,
    beat
};
constexpr std::uint64_t timer_kinds = 8;

// Guava's SmoothWarmingUp for one customer at this gateway. Starts full, hence slow; the next
// caller pays.
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
        const double slope =
            (cold_factor - 1) * stable_s / (max_permits(stable_s, warmup_s) - threshold);
        const double spent = std::min(permits, stored);
        const double above = std::max(0.0, stored - threshold);
        const double steep = std::min(above, spent);
        const double climb = steep * (2 * stable_s + slope * (2 * above - steep)) / 2;
        next_free += micros(climb + stable_s * (spent - steep) + stable_s * (permits - spent));
        stored -= spent;
    }
};

// A customer's quota as its home keeps it: what no gateway of the set holds a part of yet.
struct Member {  // a gateway as it told last
    double demand = 0, part = 0,
           before = 0;  // before: the standing part that it held when it asked
    Micros told{0}, until{0};
    std::uint32_t nonce = 0;
    // What may run there: its answer may be lost.
    double standing(Micros now) const { return now < until ? std::max(part, before) : 0; }
    bool gone(Micros now) const { return now - told > sweep_period && now >= until; }
};
struct Ledger {
    double level = 0, hard = 0, standing = 0;  // standing: the sum of the parts that run
    Micros touched{0};
    std::map<int, Member> members;
};

struct Customer {
    std::uint32_t hash = 0;
    int plan = -1, set_size = 1, set_start = 0, members = 1;  // members: of the set, that ask now
    Micros touched{0}, born{0}, last_use{0};
    double part = 0,
           spilt = 0;  // standing part of the quota, refilled here by the clock; what had no room
    Micros part_until{0}, asked_at{0};
    double asked_demand = 0;
    bool lined = false;      // in renewals_
    double level = 0;        // plain store: units of the quota this gateway may still send on
    Micros even_at{0};       // when the even slice next covers a unit, where no home answers
    DecayingCounter own;     // recent demand here
    double told_demand = 0;  // and by all gateways, units a second, as the home tells
    Micros told_at{0}, dry_until{0};           // when it told, and until when it has nothing
    double dry_need = 0;                       // for asks of this size
    double hard_level = 0, hard_reserved = 0;  // this gateway's own part of the ceiling
    std::uint32_t nonce = 0;                   // of the ask that is out; 0: none
    int tries = 0;                             // asks for the first in line
    std::deque<RequestId> asking;              // requests that wait for a part
    int open = 0, requests = 0;                // attempts out, requests in hand
    WarmUpLimiter limiter;
};
struct Ask {
    Customer* customer;
    int to;
    Micros sent;
};
struct Peer {
    int lost = 0, talkers = 1, answers = 0;  // asks in a row; that share its intake; in the outbox
    bool flushing = false;                   // a timer is set
    double tokens = mail_at_once;
    Micros tokens_at{0}, silent_until{0}, heard{0};
    std::vector<PeerMessage> outbox;
};

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
    Customer* customer = nullptr;
    Micros deadline{0}, latest_start{0};
    double drawn = 0, reserved = 0;  // of the plain store and of the ceiling, not sent yet
    bool in_quota = true, sent = false, waiting = false, probing = false, maybe_ran = false;
    int kind = 0, attempts = 0, out = 0, rounds = 0, probes_out = 0;  // kind: class and plan
    std::vector<Host*> pair;
    Micros last_sent{0}, first_maybe{0};
    std::string last_host, group_zone;
    std::int64_t group_cell = 0;
};

}  // namespace

class DecisionEngine::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : s_(std::move(settings)), random_(seed), boot_(now), starts_(now) {
        silverreach::validate(s_);
        next_nonce_ = static_cast<std::uint32_t>(random_()) | 1;
    }

    void handle(Micros now, const Event& event, Actions& actions) {
        now_ = now;
        actions_ = &actions;
        if (last_beat_ == 0us) beat();
        std::visit([this](const auto& e) { on(e); }, event);
        for (const int to : std::exchange(unsent_, {}))
            flush(to, peers_[to]);
    }

  private:
    // ---- quotas
    // ---------------------------------------------------------------------------------------

    const Plan* plan_of(const Customer& c) const {
        return c.plan < 0 ? nullptr : &s_.plans[c.plan];
    }

    // The set's gateways in the order in which they keep this customer's ledger.
    int home(std::uint32_t hash, int set_start, int set_size, int place) const {
        const auto n = static_cast<std::uint32_t>(set_size);
        const std::uint32_t at = (hash + static_cast<std::uint32_t>(place) * (1 + n / 3)) % n;
        return static_cast<int>((static_cast<std::uint32_t>(set_start) + at) % s_.instance_count);
    }

    // This gateway's part of the customer's recent demand; the even split where no home told it
    // lately.
    double share(const Customer& c) const {
        const double even = 1.0 / c.set_size, own = c.own.value(now_, use_memory_s) / use_memory_s;
        if (c.told_at <= 0us || now_ - c.told_at > sweep_period) return even;
        return std::clamp(own / std::max({own, c.told_demand, 1e-9}), even, 1.0);
    }

    // Units a second asked for here; none where several expected ones are missing.
    double demand(const Customer& c) const {
        const double age = std::max(seconds(now_ - c.born), use_memory_s);
        const double whole = use_memory_s * (1 - std::exp(-age / use_memory_s));
        const double rate = c.own.value(now_, use_memory_s) / whole;
        return rate * seconds(now_ - c.last_use) > silent_answers
                   ? 0
                   : std::ceil(rate / lease_unit_step) * lease_unit_step;
    }
    bool steady(double d, int members) const { return d * seconds(period(members)) >= 1; }
    bool steady(const Customer& c) const { return steady(demand(c), c.members); }
    // Between two asks for one customer: by what its home takes in from all that ask.
    Micros period(int members) const {
        const double intake = std::max(1.0, s_.peer_messages_per_second * mail_share);
        return micros(std::max(period_least_s, period_asks * members / intake));
    }

    static Micros lives(Micros again) { return std::max(part_life_least, part_lives * again); }
    // Set aside for standing parts: twice what comes while they live. The rest of the burst stays
    // in common.
    double stock(double rate, double burst, int set_size) const {
        return std::min(burst, 2 * rate * seconds(lives(period(set_size))));
    }
    // The own part of the ceiling: the even part of what its home does not own, and the standing
    // one.
    static double common(int set_size) { return 1 - std::min(even_most, even_members / set_size); }
    double even(const Customer& c, double of) const {
        return of * (1 - common(c.set_size)) / c.set_size;
    }
    double hard_most(const Customer& c) const {
        const Plan& p = *plan_of(c);
        const double most = stock(p.ceiling_rate, p.ceiling_burst, c.set_size);
        return even(c, p.ceiling_burst) + common(c.set_size) * running(c) * most;
    }
    double running(const Customer& c) const { return now_ < c.part_until ? c.part : 0; }
    // The standing part refills the stores by the clock as long as it runs; what has no room goes
    // back.
    void touch(Customer& c) {
        const Micros last = std::exchange(c.touched, now_);
        const Plan* p = plan_of(c);
        if (!p) return;
        const double ran = c.part * seconds(std::max(0us, std::min(now_, c.part_until) - last));
        const double come = ran * p->rate, hard = ran * common(c.set_size) * p->ceiling_rate;
        const double holds = c.part * store_holds * stock(p->rate, p->burst, c.set_size);
        const double kept = std::clamp(holds - c.level, 0.0, come);
        c.level += kept, c.spilt += come - kept;
        c.hard_level += seconds(now_ - last) * even(c, p->ceiling_rate) + hard;
        const double over = std::max(0.0, c.hard_level - hard_most(c) - c.hard_reserved);
        c.hard_level -= over;
        if (p->rate <= 0) c.spilt += std::min(over, hard);
    }

    // Another plan: what is held goes over, cut to what the new one may hold, nothing is added, so
    // no move back and forth refills a store. The home's ledger follows with the next ask, by the
    // same clamps.
    void move(Customer& c, int plan) {
        touch(c);
        c.plan = plan;
        c.level = std::min(c.level, s_.plans[plan].burst);
        c.part_until = now_, c.dry_until = 0us;
        c.hard_level = std::min(c.hard_level, hard_most(c));
    }
    Customer& customer(const RequestArrived& r) {
        auto [it, fresh] = customers_.try_emplace(r.customer);
        Customer& c = it->second;
        // The ceiling's part counts from this start, from nothing: a former life may have spent it
        // all.
        if (fresh)
            c.hash = hash_name(r.customer), c.plan = r.plan, c.touched = boot_, c.born = now_;
        else if (r.plan >= 0 && r.plan != c.plan)
            move(c, r.plan);
        c.set_size = std::max(c.set_size, std::clamp(r.subset_size, 1, s_.instance_count));
        c.set_start =
            ((r.subset_start % s_.instance_count) + s_.instance_count) % s_.instance_count;
        c.last_use = now_;
        return touch(c), c;
    }

    // ---- the ledger of customers whose home is here
    // ----------------------------------------------------

    // Gives a part: what is needed or nothing, and on top by the asker's share in the demand, half
    // of the rest at most, taken off first: parts lost on the way are lost, none counts twice. And
    // a standing part, by demand too, that refills there by the clock and lapses there before it
    // does here; the pool refills by the rest. Guards against waits, and messages that grow with
    // traffic. Harms by a burst for each home that restarts, and a rate until the parts of its
    // former life lapse (not the ceiling's: that waits).
    LeaseGrant give(const LeaseRequest& ask, int from) {
        const Plan& p = s_.plans[ask.plan];
        auto [it, fresh] = ledgers_.try_emplace(ask.customer_hash);
        Ledger& l = it->second;
        if (fresh) l.level = start_part * p.burst, l.touched = boot_;
        const int members = static_cast<int>(l.members.size() + !l.members.count(from));
        const Micros again = period(members);
        const Micros sure = boot_ + lives(period(ask.subset_size)) * (members < ask.subset_size);
        const Micros last = std::exchange(l.touched, now_);
        // A successor keeps less of the burst, and gives none of the ceiling's common part: the
        // home owns it.
        const bool owns = home(ask.customer_hash, ask.subset_start, ask.subset_size, 0) == s_.rank;
        const double free = 1 - l.standing, dt = seconds(now_ - last) * free;
        const double out =
            l.standing * stock(p.rate, p.burst, ask.subset_size) * (store_holds + store_owes);
        l.level = std::min(owns ? p.burst - out : start_part * p.burst, l.level + dt * p.rate);
        if (owns && now_ > sure)
            l.hard += seconds(now_ - std::max(last, sure)) * free * common(ask.subset_size) *
                      p.ceiling_rate;
        const double rate = p.rate > 0 ? p.rate : p.ceiling_rate;
        double demand = ask.demand_rate;
        Member& m = l.members[from];
        const bool late =
            m.nonce != 0 && static_cast<std::int32_t>(ask.nonce - m.nonce) <= 0;  // or repeated
        // Its answer came: what was counted for the part before it comes back.
        if (!late && std::abs(ask.standing_share - m.part) < standing_share_step / 2) {
            const double more = (m.standing(now_) - m.part) * seconds(now_ - m.told);
            l.level += more * p.rate,
                l.hard += owns ? more * p.ceiling_rate * common(ask.subset_size) : 0;
        }
        m.before = late ? std::max(ask.standing_share, m.standing(now_)) : ask.standing_share;
        m.demand = ask.demand_rate, m.part = 0, m.told = now_, m.until = now_ + lives(again),
        m.nonce = ask.nonce;
        l.standing = 0;
        std::erase_if(l.members, [this](const auto& other) { return other.second.gone(now_); });
        for (const auto& [rank, other] : l.members)
            if (rank != from) demand += other.demand, l.standing += other.standing(now_);
        // None too little to ever hold a request: it would lie idle.
        const double all = std::max({demand, rate / standing_room, 1e-9});
        const double fair =
            std::min(standing_most * ask.demand_rate / all, standing_most - l.standing);
        const bool due = owns && from != s_.rank && steady(ask.demand_rate, members);
        // A fresh home of a ceiling gives again what runs, no more: who else has a part is not
        // known yet.
        const double most =
            p.ceiling_rate > 0 && now_ <= sure ? std::min(fair, ask.standing_share) : fair;
        if (due && fair * stock(rate, p.rate > 0 ? p.burst : p.ceiling_burst, ask.subset_size) >=
                       mean_units_)
            m.part = round_down_to_step(most, standing_share_step);
        if (!late) l.level += ask.returned_units, l.hard += p.rate > 0 ? 0 : ask.returned_units;
        l.standing += m.standing(now_);
        const double kept = l.standing * stock(p.ceiling_rate, p.ceiling_burst, ask.subset_size);
        l.hard = std::min(l.hard, common(ask.subset_size) * (p.ceiling_burst - kept));
        LeaseGrant given{ask.nonce};
        given.demand_rate = demand, given.standing_share = m.part,
        given.holder_count = owns ? members : 0;
        const double share =
            std::min(0.5, 2 * ask.demand_rate / std::max(demand, 1e-9));  // of the rest
        double wait = ask.required_units > l.level
                          ? (ask.required_units - l.level) / std::max(p.rate, 1e-9)
                          : 0;
        if (l.hard < ask.ceiling_units)
            wait = std::max(wait, (ask.ceiling_units - l.hard) / std::max(p.ceiling_rate, 1e-9));
        if (wait > 0) given.wait_ms = static_cast<std::uint32_t>(std::min(wait, 60.0) * 1e3) + 1;
        if (wait > 0 && ask.required_units > 0) return given;
        given.units =
            ask.required_units + round_down_to_step(std::clamp(
                                     (l.level - ask.required_units) * share, 0.0, ask.extra_units));
        given.ceiling_units = wait > 0 ? round_down_to_step(l.hard * share) : ask.ceiling_units;
        l.level -= given.units, l.hard -= given.ceiling_units;
        return given;
    }

    // Asks for what the first request in line lacks: the home, else its successors, else the even
    // slice. With nobody in line it tells the demand, asks for what is used until the next time,
    // and gives back the rest.
    void obtain(Customer& c) {
        while (!c.asking.empty() && !requests_.count(c.asking.front()))
            c.asking.pop_front();
        const bool waits = !c.asking.empty();
        const Plan& p = *plan_of(c);
        const double k = waits ? requests_.at(c.asking.front()).ask.units : 0, d = demand(c);
        const double ahead =
            d * std::max(part_ahead_s, steady(c) * period_asks * seconds(period(c.members)));
        LeaseRequest ask{next_nonce_, c.hash, c.plan, c.set_size, c.set_start};
        ask.required_units = lack(c, k), ask.ceiling_units = hard_lack(c, k), ask.demand_rate = d,
        ask.standing_share = running(c);
        if (p.rate > 0)
            ask.extra_units = std::max(0.0, ahead - (waits ? std::max(k, c.level) : c.level));
        const double holds = c.part * store_holds * stock(p.rate, p.burst, c.set_size);
        const double keep = d > 0 ? std::max(ahead, holds) : 0;
        if (p.rate > 0 && !waits)
            ask.returned_units = round_down_to_step(std::max(0.0, c.level - keep));
        if (p.ceiling_rate > 0 && !waits)
            ask.ceiling_units = std::max(0.0, std::min(ahead, hard_most(c)) - c.hard_level);
        c.level -= ask.returned_units, ask.returned_units += std::exchange(c.spilt, 0);
        c.asked_at = now_, c.asked_demand = d;
        for (int place = 0; place < (waits && !told(c) ? homes : 1) && c.tries < asks_most;
             ++place) {
            const int to = home(c.hash, c.set_start, c.set_size, place);
            if (to == s_.rank) return receive(c, give(ask, to));
            if (!s_.may_message_peers || (waits && now_ < peers_[to].silent_until)) continue;
            c.nonce = std::exchange(next_nonce_, next_nonce_ + 2);
            const Micros out = post(to, ask, c.members);
            asks_[c.nonce] = {&c, to, now_ + out};
            ++c.tries;
            return timer(due() * (waits ? 1 : 2) + out, ask.nonce, TimerKind::part);
        }
        c.tries = 0;
        line(c);
        for (const RequestId id : std::exchange(c.asking, {}))
            if (const auto it = requests_.find(id); it != requests_.end())
                from_even_slice(it->second);
    }
    // The next ask, ahead of need: while a standing part runs, or as much is used that one is due.
    Micros due() const { return std::max(answer_due, micros(silent_answers * ask_s_)); }
    void line(Customer& c) {
        if (!std::exchange(c.lined, true)) renewals_.emplace(now_ + period(c.members), &c);
    }
    void renew() {
        for (auto next = renewals_.begin(); next != renewals_.end();) {
            const auto it = next++;
            Customer& c = *it->second;
            const bool moved = c.part > 0 && now_ - c.asked_at >= answer_due && demand(c) <= 0;
            if (it->first > now_ && !moved) continue;
            renewals_.erase(it);
            c.lined = false;
            touch(c);
            if (moved) c.part = 0;  // others can have it at once
            if (c.nonce != 0)
                line(c);
            else if (moved || c.part > 0 || steady(c))
                obtain(c);
        }
    }

    // No home answers: the even slice of the quota decides, one request at once. Guards against
    // lost messages and dead homes; over-commit is bounded by a request for each gateway of the
    // set.
    void from_even_slice(Request& q) {
        Customer& c = *q.customer;
        const Plan& p = *plan_of(c);
        const double k = q.ask.units;
        const Micros wait = c.even_at - now_;
        if (told(c) && c.told_demand > p.rate) return deny(q, due());
        if (hard_lack(c, k) > 0) return deny(q, micros(hard_lack(c, k) / even(c, p.ceiling_rate)));
        if (lack(c, k) > 0) {
            if (wait > 0us) return deny(q, wait);
            c.even_at = std::max(c.even_at, now_) + micros(k * c.set_size / std::max(p.rate, 1e-9));
            c.level += lack(c, k);
        }
        admit(q);
    }

    // A store may owe a part of what its standing part surely brings, and one request while all
    // were told to use less than the quota: it is paid back from the next parts, and spares the
    // wait for them.
    double lack(const Customer& c, double k) const {
        const Plan& p = *plan_of(c);
        const double sure = running(c) * stock(p.rate, p.burst, c.set_size) * store_owes;
        const bool under = told(c) && c.told_demand <= p.rate;
        return p.rate > 0 ? std::max(0.0, k - c.level - std::max(sure, under ? k : 0)) : 0;
    }
    // Another gateway is the home, told of this customer lately, and is asked steadily.
    bool told(const Customer& c) const {
        return c.told_at > 0us && now_ - c.told_at < lives(period(c.members)) &&
               steady(c.asked_demand, c.members) &&
               home(c.hash, c.set_start, c.set_size, 0) != s_.rank;
    }
    double hard_lack(const Customer& c, double k) const {
        return plan_of(c)->ceiling_rate > 0 ? std::max(0.0, k - (c.hard_level - c.hard_reserved))
                                            : 0;
    }

    // A part came, or word that there is none: the line moves.
    void receive(Customer& c, const LeaseGrant& given) {
        const Plan& p = *plan_of(c);
        touch(c);
        c.tries = 0;
        c.members = std::clamp(given.holder_count, 1, s_.instance_count);
        if (given.holder_count > 0) {  // from the home
            // Less than before counts from the asking on, as the home counts it.
            const double less =
                std::max(0.0, running(c) - given.standing_share) * seconds(now_ - c.asked_at);
            c.level -= less * p.rate, c.hard_level -= less * p.ceiling_rate * common(c.set_size);
            c.members = given.holder_count, c.told_demand = given.demand_rate, c.told_at = now_;
            c.part = given.standing_share, c.part_until = c.asked_at + lives(period(c.members));
        }
        c.level = std::min(c.level + given.units, std::max(p.burst, c.level));
        c.hard_level +=
            given.ceiling_units;  // what no waiting request takes is cut to the own part
        if (c.part > 0 || steady(c)) line(c);
        bool any = false;
        for (const RequestId id : std::exchange(c.asking, {})) {
            const auto it = requests_.find(id);
            if (it == requests_.end()) continue;
            const double k = it->second.ask.units;
            if (lack(c, k) > 0 || hard_lack(c, k) > 0)
                c.asking.push_back(id);
            else
                admit(it->second), any = true;
        }
        touch(c);
        if (c.asking.empty()) return;
        if (any) return obtain(c);
        const Micros wait = std::max(answer_due, Micros(given.wait_ms * 1000));
        c.dry_until = now_ + wait;
        for (const RequestId id : std::exchange(c.asking, {}))
            if (const auto it = requests_.find(id); it != requests_.end())
                c.dry_need = it->second.ask.units, deny(it->second, wait);
    }

    // Beyond the quota: refused at once with the wait, unless settings say that excess earns.
    void deny(Request& q, Micros wait, RejectReason reason = RejectReason::quota_exhausted) {
        const Plan* p = plan_of(*q.customer);
        const bool ceiling = hard_lack(*q.customer, q.ask.units) > 0;
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
        Customer& c = customer(r);
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
        c.own.add(k, now_, use_memory_s);
        ++c.requests;
        Request& kept = requests_.emplace(r.id, std::move(q)).first->second;
        timer(r.time_remaining - 2 * s_.timer_tick, r.id, TimerKind::deadline);
        const Plan* p = plan_of(c);
        if (!p || (lack(c, k) <= 0 && hard_lack(c, k) <= 0)) return admit(kept);
        const double open = p->max_concurrent_attempts * share(c);
        if (p->max_concurrent_attempts > 0 && c.open >= std::max(1.0, std::round(open)))
            return deny(kept, micros(answer_s_), RejectReason::concurrency_limit);
        if (now_ < c.dry_until && k >= c.dry_need) return deny(kept, c.dry_until - now_);
        const double rate = p->rate > 0 ? p->rate : p->ceiling_rate;
        const double lacks = std::max(lack(c, k), hard_lack(c, k));
        if (told(c) && c.told_demand > over_quota * rate)
            return deny(kept, micros(lacks / rate / share(c)));
        c.asking.push_back(r.id);
        if (c.nonce == 0) obtain(c);
    }

    // The stores cover it. While the back end looks pressed the split slice with warm-up cost binds
    // as well.
    void admit(Request& q) {
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        const double k = q.ask.units;
        Micros wait{0};
        if (p && pressed_ && p->rate > 0 && p->burst > 0) {
            const double stable_s = 1 / (p->rate * share(c)), warmup_s = p->burst / p->rate;
            c.limiter.resync(now_, stable_s, warmup_s);
            wait = c.limiter.next_free - now_;
            if (now_ + wait > q.latest_start) return refuse(q, wait, RejectReason::overloaded);
            c.limiter.reserve(k, stable_s, warmup_s);
        }
        if (p && p->rate > 0 && q.in_quota) c.level -= q.drawn = k;
        if (p && p->ceiling_rate > 0) c.hard_reserved += q.reserved = k;
        if (wait <= 0us) return dispatch(q);
        timer(wait, q.ask.id, TimerKind::release);
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
        timer(probe_due, q.ask.id, TimerKind::probe);
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
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        if (!q.sent && p && p->ceiling_rate > 0) touch(c), c.hard_level -= q.ask.units;
        c.hard_reserved -= std::exchange(q.reserved, 0);
        if (!q.sent) retry_earned_.add(1, now_, long_memory_s);
        q.sent = true;
        q.waiting = q.probing = false, q.rounds = 0;
        ++q.attempts, ++q.out, ++c.open;
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
              q.ask.id, TimerKind::check);
    }

    void dispatch(Request& q) {
        if (now_ <= q.latest_start && try_send(q)) return;
        if (now_ >= q.latest_start) return finish(q);
        if (!std::exchange(q.waiting, true)) waiting_.push_back(q.ask.id);
        timer(std::min(wait_again, q.latest_start - now_), q.ask.id, TimerKind::expiry);
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
        Customer& c = *q.customer;
        if (!q.sent) c.level += q.drawn, c.hard_reserved -= q.reserved;  // gives its units back
        --c.requests;
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
            q.customer->open = std::max(0, q.customer->open - 1);
            if (a.actual_units > 0 && s_.units_corrected_by_response && q.in_quota)
                q.customer->level += q.ask.units - a.actual_units;
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
        if (stalled()) return timer(beat_period, q.ask.id, TimerKind::check);
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
            if (waited < due) return timer(micros(due - waited), q.ask.id, TimerKind::check);
            if (++h.unanswered[cls] > 1) h.shunned[-1 - cls] = now_ + shun_for;
            if (q.attempts > 1) return;
        } else {
            const double due =
                std::max(silent_answers * usual / std::max(h.out, 1), check_earliest * aim);
            if (waited < due) return timer(micros(due - waited), q.ask.id, TimerKind::check);
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

    // ---- parts among gateways
    // -------------------------------------------------------------------------

    void on(const PeerMessageReceived& m) {
        if (m.from < 0 || m.from >= s_.instance_count || m.from == s_.rank) return;
        const auto messages = decode(m.bytes);
        if (!messages) return;
        Peer& peer = peers_[m.from];
        peer.lost = 0, peer.silent_until = 0us;
        if (now_ - heard_since_ >= silent_for)
            heard_before_ = std::exchange(heard_, 0), heard_since_ = now_;
        if (std::exchange(peer.heard, now_) < heard_since_) ++heard_;
        for (const PeerMessage& message : *messages) {
            const auto* ask = std::get_if<LeaseRequest>(&message);
            if (!ask)
                take_part(m.from, std::get<LeaseGrant>(message));
            else if (ask->plan < static_cast<int>(s_.plans.size()) && ask->subset_size >= 1 &&
                     ask->subset_size <= s_.instance_count)
                post(m.from, give(*ask, m.from), 0);
        }
    }

    // Messages of one event to a peer go together. Asks go at once while they are few; what comes
    // faster than the peer's intake allows, shared by those that talk to it, is bundled, what
    // requests wait for first. Answers go at once, as many as asks. Guards against asks lost in a
    // full intake; harms by the wait.
    Micros post(int to, const PeerMessage& message, int talkers) {
        Peer& peer = peers_[to];
        const auto* ask = std::get_if<LeaseRequest>(&message);
        if (ask) peer.talkers = talkers;
        peer.answers += ask == nullptr;
        const auto at = ask && ask->required_units <= 0 ? peer.outbox.end() : peer.outbox.begin();
        if (peer.outbox.size() < outbox_most) peer.outbox.insert(at, message);
        unsent_.push_back(to);
        return micros(std::max(0.0, 1 - peer.tokens) / mail_rate(peer));
    }
    double mail_rate(const Peer& peer) const {
        const double talkers =
            std::clamp(std::max({heard_, heard_before_, peer.talkers}), 1, s_.instance_count);
        return std::max(0.2, s_.peer_messages_per_second * mail_share / talkers);
    }
    void flush(int to, Peer& peer) {
        const double rate = mail_rate(peer);
        peer.tokens = std::min(mail_at_once, peer.tokens + rate * seconds(now_ - peer.tokens_at));
        peer.tokens_at = now_;
        while (!peer.outbox.empty() && (peer.tokens >= 1 || peer.answers > 0)) {
            peer.tokens = std::max(0.0, peer.tokens - 1);
            actions_->push_back(SendPeerMessage{to, encode(peer.outbox)});
            const auto sent = static_cast<std::ptrdiff_t>(
                std::min(peer.outbox.size(), max_messages_per_datagram));
            peer.answers = std::max(0, peer.answers - static_cast<int>(sent));
            peer.outbox.erase(peer.outbox.begin(), peer.outbox.begin() + sent);
        }
        if (!peer.outbox.empty() && !std::exchange(peer.flushing, true))
            timer(micros((1 - peer.tokens) / rate), static_cast<RequestId>(to), TimerKind::flush);
    }

    void take_part(int from, LeaseGrant given) {
        const auto it = asks_.find(given.nonce);
        if (it == asks_.end() || it->second.to != from) return;
        ask_s_ += answer_weight * (seconds(now_ - it->second.sent) - ask_s_);
        if (now_ - it->second.sent > 2 * due())
            given.ceiling_units = 0;  // an own stall: the giver's has refilled
        receive(close(it), given);
    }

    // An ask unanswered in time: once more, then the next home.
    void part_overdue(std::uint32_t nonce) {
        const auto it = asks_.find(nonce);
        if (it == asks_.end()) return;
        if (stalled()) return timer(answer_due, nonce, TimerKind::part);
        Peer& peer = peers_[it->second.to];
        if (++peer.lost >= silent_after) peer.silent_until = now_ + silent_for;
        obtain(close(it));
    }
    Customer& close(std::unordered_map<std::uint32_t, Ask>::iterator ask) {
        Customer& c = *ask->second.customer;
        asks_.erase(ask);
        return c.nonce = 0, c;
    }

    // ---- timers
    // -----------------------------------------------------------------------------------------

    void timer(Micros wait, RequestId id, TimerKind kind) {
        const auto token = id * timer_kinds + static_cast<std::uint64_t>(kind);
        actions_->push_back(SetTimer{std::max(wait, 1us), token});
    }

    void on(const TimerFired& t) {
        const auto kind = static_cast<TimerKind>(t.token % timer_kinds);
        const std::uint64_t about = t.token / timer_kinds;
        if (kind == TimerKind::part) return part_overdue(static_cast<std::uint32_t>(about));
        const int rank = static_cast<int>(about);
        if (kind == TimerKind::flush)
            return peers_[rank].flushing = false, flush(rank, peers_[rank]);
        if (kind == TimerKind::beat && about == 0) return beat();
        const auto it = requests_.find(about);
        if (it == requests_.end()) return pump();
        Request& q = it->second;
        if (kind == TimerKind::deadline)
            finish(q);
        else if (kind == TimerKind::release)
            dispatch(q);
        else if (kind == TimerKind::expiry && q.waiting)
            q.rounds = 0, dispatch(q);
        else if (kind == TimerKind::check)
            check(q);
        else if (kind == TimerKind::probe && q.probing)
            choose(q);
        pump();
    }

    // A beat far too late tells of an own stall: in the backlog found with it waiting looks like
    // others' silence and answers look slow, so nothing is judged by it. Harms where real silence
    // falls into one.
    bool stalled() const { return now_ == stalled_at_ || now_ - last_beat_ > stall_after; }
    void beat() {
        if (last_beat_ > 0us && stalled()) stalled_at_ = now_;
        last_beat_ = now_;
        timer(beat_period, 0, TimerKind::beat);
        renew();
        if (now_ - swept_at_ < sweep_period) return;
        swept_at_ = now_;
        starts_.forget_old(now_);
        list_hosts();  // and ages out who is idle; a customer that still has requests in hand stays
        const auto old = [this](Micros at) { return now_ - at >= idle_after; };
        std::erase_if(peers_, [&](const auto& p) { return old(p.second.tokens_at); });
        std::erase_if(ledgers_, [&](const auto& l) { return old(l.second.touched); });
        const auto done = [&](const Customer& c) {
            return !c.requests && c.nonce == 0 && !c.lined;
        };
        std::erase_if(customers_,
                      [&](const auto& c) { return old(c.second.last_use) && done(c.second); });
    }

    Settings s_;
    std::mt19937_64 random_;
    Micros boot_, now_{0};
    SlowStartTracker starts_;
    Actions* actions_ = nullptr;
    Micros last_beat_{0}, stalled_at_{0}, swept_at_{0}, heard_since_{0};
    std::uint32_t next_nonce_ = 1;
    int heard_ = 0, heard_before_ = 0;  // peers that spoke in this window and the one before
    std::unordered_map<std::string, Customer> customers_;
    std::unordered_map<std::uint32_t, Ledger> ledgers_;  // by hash of the customer's name
    std::unordered_map<std::uint32_t, Ask> asks_;        // by nonce
    std::unordered_map<int, Peer> peers_;                // those talked with
    std::multimap<Micros, Customer*> renewals_;          // by when they ask next
    std::vector<int> unsent_;                            // peers with messages of this event
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::string, Host> hosts_;
    std::deque<RequestId> waiting_;
    std::vector<Host*> order_;  // all hosts, in this gateway's own order
    std::size_t warm_ = 0;
    Micros sent_at_{0};
    DecayingCounter warm_sent_, warm_time_, work_out_, retry_earned_, retry_spent_;
    double ask_s_ = 0, answer_s_ = 0, slow_share_ = 0, mean_units_ = 1, warm_rate_ = 0,
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

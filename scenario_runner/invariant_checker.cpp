#include "scenario_runner/invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <unordered_map>

namespace silverreach::scenario {
namespace {
using nlohmann::json;
using Time = std::int64_t;
constexpr std::size_t most_told = 20;  // of each rule; the rest is counted

struct TryFacts {
    const json* sent = nullptr;
    std::vector<const json*> ends;      // answers, breaks, given up
    std::vector<const json*> received;  // by hosts
    int sent_times = 0, extras = 0;
};

class Judge {
  public:
    Judge(const std::vector<json>& records, const Terms& terms)
        : records_(records), terms_(terms) {}

    Verdict run() {
        gather();
        for (const auto& [id, t] : tries_) {
            one_answer(id, t);
            counted_once(id, t);
        }
        effects();
        drains();
        cold_hosts();
        ceilings();
        for (const auto& [rule, n] : hidden_)
            verdict_.broken.emplace_back(rule, fmt::format("and {} more", n));
        return std::move(verdict_);
    }

  private:
    static std::string str(const json& r, const char* name) { return r.value(name, std::string()); }
    static Time at(const json& r) { return r["t"].get<Time>(); }
    void looked(Rule rule) { ++verdict_.looked_at[rule]; }
    void broken(Rule rule, std::string what) {
        if (told_[rule]++ < most_told)
            verdict_.broken.emplace_back(rule, std::move(what));
        else
            ++hidden_[rule];
    }

    void gather() {
        for (const json& r : records_) {
            const std::string who = str(r, "who"), what = str(r, "what"), id = str(r, "id");
            if (who == "client") {
                TryFacts& t = tries_[id];
                if (what == "sent")
                    t.sent = &r, ++t.sent_times;
                else if (what == "extra")
                    ++t.extras;
                else
                    t.ends.push_back(&r);
            } else if (who == "host" && what == "received") {
                tries_[id].received.push_back(&r);
            } else if (who == "drill" && (what == "killed" || what == "started")) {
                lives_[r.value("gateway", 0)].emplace_back(at(r), what == "started");
            }
        }
    }
    // Whether the gateway's process died, or was not there, at some moment of the span.
    bool away(int gateway, Time from, Time until) const {
        const auto it = lives_.find(gateway);
        if (it == lives_.end()) return false;
        bool up = true;
        for (const auto& [t, started] : it->second) {
            if (t > until) break;
            if (!started && t >= from) return true;
            up = started;
            if (t < from) continue;
            // Came up within the span, so it was away before. At its first moment too: all that the
            // drill sees in one turn of its loop has one time, whatever came first.
            if (started) return true;
        }
        return !up;
    }

    void one_answer(const std::string& id, const TryFacts& t) {
        constexpr Rule rule = Rule::one_answer;
        if (!t.sent) return;
        looked(rule);
        const int gateway = t.sent->value("gateway", 0);
        const Time begun = at(*t.sent),
                   due = begun + t.sent->value("deadline_us", Time(0)) + terms_.slack.count();
        if (t.extras) broken(rule, fmt::format("{}: bytes beyond its answer", id));
        if (t.ends.size() > 1) broken(rule, fmt::format("{}: {} ends", id, t.ends.size()));
        const bool excused = away(gateway, begun, due);
        if (t.ends.empty()) {
            if (!excused) broken(rule, fmt::format("{}: no end at all", id));
            return;
        }
        const json& end = *t.ends.front();
        const std::string what = str(end, "what");
        // A head that was followed by a break is an answer that failed: it looked at no time like a
        // whole one.
        const bool final = what == "answer" || (what == "broken" && end.value("head_seen", false));
        if (!final && !excused)
            broken(rule, fmt::format("{}: {} at gateway {}", id, what, gateway));
        if (final && at(end) > due && !excused)
            broken(rule,
                   fmt::format("{}: answered {} ms after its time", id, (at(end) - due) / 1000));
        for (const json* r : t.received)
            if (final && at(*r) > at(end) + terms_.slack.count())
                broken(rule,
                       fmt::format("{}: sent to {} after its final answer", id, str(*r, "host")));
    }

    void counted_once(const std::string& id, const TryFacts& t) {
        constexpr Rule rule = Rule::counted_once;
        looked(rule);
        if (!t.sent && !t.received.empty())
            broken(rule, fmt::format("{}: hosts received it, no client sent it", id));
        if (t.sent_times > 1)
            broken(rule, fmt::format("{}: sent {} times by clients", id, t.sent_times));
        std::set<int> attempts;
        for (const json* r : t.received)
            if (!attempts.insert(r->value("attempt", -1)).second)
                broken(rule,
                       fmt::format("{}: attempt {} received twice", id, r->value("attempt", -1)));
        for (const json* r : t.received)
            if (t.sent && r->value("units", 0.0) != t.sent->value("units", 0.0))
                broken(rule, fmt::format("{}: units changed on the way", id));
    }

    // An operation that must not run twice: counted by what hosts ran, whichever try and gateway
    // brought it. And a refusal says that nothing ran, so no host may have taken an unsafe one
    // before it.
    void effects() {
        constexpr Rule rule = Rule::no_effect_twice;
        std::map<std::string, int> runs;
        for (const json& r : records_)
            if (str(r, "who") == "host" && str(r, "what") == "ran" && str(r, "effect") != "safe")
                ++runs[str(r, "op")];
        for (const auto& [op, n] : runs) {
            looked(rule);
            if (n > 1) broken(rule, fmt::format("{}: ran {} times", op, n));
        }
        static const std::set<std::string> refusals = {"quota",   "ceiling",   "open", "pressed",
                                                       "no-host", "no-answer", "late"};
        for (const auto& [id, t] : tries_) {
            if (!t.sent || str(*t.sent, "effect") != "unsafe") continue;
            looked(rule);
            const bool refused =
                !t.ends.empty() && refusals.contains(str(*t.ends.front(), "reason"));
            for (const json* r : t.received)
                if (refused && r->value("taken", false))
                    broken(rule,
                           fmt::format("{}: refused though {} had taken it", id, str(*r, "host")));
        }
    }

    void drains() {
        constexpr Rule rule = Rule::drains_kept;
        struct Told {
            Time since;
            bool up;
        };
        std::map<std::pair<int, std::string>, std::vector<Told>> told;  // by gateway and host
        std::map<int, std::set<std::string>> listed;
        for (const json& r : records_) {
            if (str(r, "who") == "drill" && str(r, "what") == "killed")
                listed.erase(r.value("gateway", 0));
            if (str(r, "who") != "roster" || str(r, "what") != "told") continue;
            const int gateway = r.value("gateway", 0);
            for (const std::string& host : listed[gateway])
                if (!r["hosts"].contains(host)) told[{gateway, host}].push_back({at(r), false});
            for (const auto& [host, state] : r["hosts"].items()) {
                listed[gateway].insert(host);
                told[{gateway, host}].push_back({at(r), state == "HEALTHY"});
            }
        }
        for (const json& r : records_) {
            if (str(r, "who") != "host" || str(r, "what") != "received") continue;
            const auto it = told.find({r.value("gateway", 0), str(r, "host")});
            if (it == told.end()) continue;
            looked(rule);
            std::optional<Time> down;  // since when the gateway knows better
            for (const Told& t : it->second) {
                if (t.since > at(r)) break;
                if (t.up)
                    down.reset();
                else if (!down)
                    down = t.since;
            }
            if (down && at(r) > *down + terms_.drain_grace.count() + terms_.slack.count())
                broken(rule, fmt::format("{}: sent to {} by gateway {}, {} ms after it was told",
                                         str(r, "id"), str(r, "host"), r.value("gateway", 0),
                                         (at(r) - *down) / 1000));
        }
    }

    // Work received within any window of the fall time, against the multiple of what a cold host
    // can do meanwhile.
    void cold_hosts() {
        constexpr Rule rule = Rule::no_cold_host_pushed_over;
        if (terms_.fall_multiple <= 0) return;
        struct Life {
            Time start = 0;
            double full = 0;
            bool cold = false;
            std::vector<std::pair<Time, double>> arrivals;
        };
        std::map<std::string, Life> lives;
        const auto check = [&](const std::string& host, const Life& life) {
            if (!life.cold) return;
            std::size_t from = 0;
            double sum = 0;
            for (std::size_t i = 0; i < life.arrivals.size(); ++i) {
                const auto& [t, work] = life.arrivals[i];
                if (t - life.start > terms_.cold.count()) return;
                looked(rule);
                sum += work;
                while (life.arrivals[from].first + terms_.fall_time.count() < t)
                    sum -= life.arrivals[from++].second;
                const double age =
                    static_cast<double>(t - life.start) / static_cast<double>(terms_.cold.count());
                const double capacity =
                    life.full * (terms_.start_capacity + (1 - terms_.start_capacity) * age);
                const double window = static_cast<double>(terms_.fall_time.count()) / 1e6;
                if (sum > terms_.fall_multiple * capacity * window + 2 * work)
                    return broken(
                        rule, fmt::format(
                                  "{}: {:.2f} s of work in {:.1f} s, {:.1f} s after its cold start",
                                  host, sum, window, static_cast<double>(t - life.start) / 1e6));
            }
        };
        for (const json& r : records_) {
            if (str(r, "who") != "host") continue;
            const std::string what = str(r, "what"), host = str(r, "host");
            Life& life = lives[host];
            if (what == "started") {
                check(host, life);
                life = {at(r), r.value("full_capacity", 0.0), r.value("cold", false), {}};
                if (life.cold) looked(rule);
            } else if (what == "received") {
                life.arrivals.emplace_back(at(r), r.value("work_us", 0.0) / 1e6);
            } else if (what == "fell") {
                broken(rule, fmt::format("{}: fell over", host));
            }
        }
        for (const auto& [host, life] : lives)
            check(host, life);
    }

    void ceilings() {
        constexpr Rule rule = Rule::ceilings_kept;
        struct Store {
            double level;
            Time at = 0;
            bool told = false;
        };
        std::map<std::string, Store> stores;
        std::set<std::string> counted;
        for (const json& r : records_) {
            if (str(r, "who") != "host" || str(r, "what") != "received") continue;
            const std::string id = str(r, "id");
            const auto t = tries_.find(id);
            if (t == tries_.end() || !t->second.sent || !counted.insert(id).second) continue;
            const std::string account = str(*t->second.sent, "account");
            const auto ceiling = terms_.ceilings.find(account);
            if (ceiling == terms_.ceilings.end()) continue;
            looked(rule);
            const Ceiling& c = ceiling->second;
            auto [it, fresh] = stores.try_emplace(account, Store{c.burst, at(r)});
            Store& s = it->second;
            s.level = std::min(c.burst, s.level + c.rate * static_cast<double>(at(r) - s.at) / 1e6);
            s.at = at(r);
            const double units = r.value("units", 1.0);
            s.level -= units;
            if (s.level < -std::max(terms_.ceiling_slack * c.burst, units) - 1e-9 &&
                !std::exchange(s.told, true))
                broken(rule, fmt::format("{}: {:.1f} units past its ceiling at {}", account,
                                         -s.level, id));
        }
    }

    const std::vector<json>& records_;
    const Terms& terms_;
    Verdict verdict_;
    std::map<std::string, TryFacts> tries_;
    std::map<int, std::vector<std::pair<Time, bool>>> lives_;
    std::map<Rule, std::size_t> told_, hidden_;
};
}  // namespace

std::string_view to_string(Rule rule) {
    constexpr std::array<std::string_view, rules> names = {
        "one final answer in time", "no effect twice", "drains kept",
        "no cold host pushed over", "ceilings kept",   "each try counted once"};
    return names[static_cast<std::size_t>(rule)];
}
bool Verdict::broke(Rule rule) const {
    return std::any_of(broken.begin(), broken.end(),
                       [&](const auto& b) { return b.first == rule; });
}

Verdict judge(std::vector<json> records, const Terms& terms) {
    std::stable_sort(records.begin(), records.end(), [](const json& a, const json& b) {
        return a["t"].get<Time>() < b["t"].get<Time>();
    });
    return Judge(records, terms).run();
}

std::string summary(const std::vector<json>& records) {
    std::map<std::string, std::string> account_of;
    std::map<std::string, std::map<std::string, int>> by_account;
    std::map<std::string, int> sent;
    std::set<std::string> reasons;
    for (const json& r : records)
        if (r.value("who", "") == "client" && r.value("what", "") == "sent") {
            account_of[r.value("id", "")] = r.value("account", "");
            ++sent[r.value("account", "")];
        }
    for (const json& r : records) {
        if (r.value("who", "") != "client" || r.value("what", "") == "sent") continue;
        std::string how = r.value("what", "");
        if (how == "answer")
            how = r.value("status", 0) < 400 ? "served"
                  : r.value("reason", "").empty() || r.value("reason", "") == "blank"
                      ? fmt::format("{}", r.value("status", 0))
                      : r.value("reason", "");
        reasons.insert(how);
        ++by_account[account_of[r.value("id", "")]][how];
    }
    std::string out = fmt::format("{:<14}{:>7}", "account", "tries");
    for (const std::string& reason : reasons)
        out += fmt::format("{:>12}", reason);
    out += "\n";
    for (const auto& [account, n] : sent) {
        out += fmt::format("{:<14}{:>7}", account, n);
        for (const std::string& reason : reasons)
            out += fmt::format("{:>12}", by_account[account][reason]);
        out += "\n";
    }
    return out;
}

std::string text_of(const Verdict& verdict) {
    std::string out;
    for (int i = 0; i < rules; ++i) {
        const Rule rule = static_cast<Rule>(i);
        const auto it = verdict.looked_at.find(rule);
        out += fmt::format("{:<26}{:<8}{} facts\n", to_string(rule),
                           verdict.broke(rule) ? "BROKEN" : "kept",
                           it == verdict.looked_at.end() ? 0 : it->second);
    }
    for (const auto& [rule, what] : verdict.broken)
        out += fmt::format("  {}: {}\n", to_string(rule), what);
    return out;
}

}  // namespace silverreach::scenario

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
using Time = std::int64_t;                // microseconds
constexpr std::size_t max_reported = 20;  // violations of each invariant; others are counted

struct RequestRecords {
    const json* sent = nullptr;
    std::vector<const json*> ends;      // responses, broken connections, timeouts
    std::vector<const json*> received;  // by hosts
    int sent_count = 0, extra_count = 0;
};

class InvariantChecker {
  public:
    InvariantChecker(const std::vector<json>& records, const CheckSettings& settings)
        : records_(records), settings_(settings) {}

    CheckReport run() {
        group_records();
        for (const auto& [id, request] : requests_) {
            check_final_response(id, request);
            check_counted_once(id, request);
        }
        check_effects();
        check_drains();
        check_cold_hosts();
        check_ceilings();
        for (const auto& [invariant, count] : omitted_counts_)
            report_.violations.emplace_back(invariant, fmt::format("and {} more", count));
        return std::move(report_);
    }

  private:
    static std::string text_field(const json& record, const char* name) {
        return record.value(name, std::string());
    }
    static Time time_of(const json& record) { return record["t"].get<Time>(); }
    void count_check(Invariant invariant) { ++report_.check_counts[invariant]; }
    void add_violation(Invariant invariant, std::string description) {
        if (reported_counts_[invariant]++ < max_reported)
            report_.violations.emplace_back(invariant, std::move(description));
        else
            ++omitted_counts_[invariant];
    }

    void group_records() {
        for (const json& record : records_) {
            const std::string who = text_field(record, "who"), what = text_field(record, "what"),
                              id = text_field(record, "id");
            if (who == "client") {
                RequestRecords& request = requests_[id];
                if (what == "sent")
                    request.sent = &record, ++request.sent_count;
                else if (what == "extra")
                    ++request.extra_count;
                else
                    request.ends.push_back(&record);
            } else if (who == "host" && what == "received") {
                requests_[id].received.push_back(&record);
            } else if (who == "drill" && (what == "killed" || what == "started")) {
                process_changes_[record.value("gateway", 0)].emplace_back(time_of(record),
                                                                          what == "started");
            }
        }
    }
    // Returns whether the gateway's process ended or was not running at some time of the interval.
    bool was_down(int gateway, Time from, Time until) const {
        const auto it = process_changes_.find(gateway);
        if (it == process_changes_.end()) return false;
        bool is_running = true;
        for (const auto& [time, started] : it->second) {
            if (time > until) break;
            if (!started && time >= from) return true;
            is_running = started;
            if (time < from) continue;
            // It started within the interval, so it was down before. This includes a start at
            // `from`: all records of one turn of the event loop have the same time, whichever event
            // came first.
            if (started) return true;
        }
        return !is_running;
    }

    void check_final_response(const std::string& id, const RequestRecords& request) {
        constexpr Invariant invariant = Invariant::one_final_response;
        if (!request.sent) return;
        count_check(invariant);
        const int gateway = request.sent->value("gateway", 0);
        const Time sent_at = time_of(*request.sent),
                   latest_end = sent_at + request.sent->value("deadline_us", Time(0)) +
                                settings_.time_tolerance.count();
        if (request.extra_count)
            add_violation(invariant, fmt::format("{}: bytes after its response", id));
        if (request.ends.size() > 1)
            add_violation(invariant, fmt::format("{}: {} ends", id, request.ends.size()));
        const bool is_excused = was_down(gateway, sent_at, latest_end);
        if (request.ends.empty()) {
            if (!is_excused) add_violation(invariant, fmt::format("{}: no end", id));
            return;
        }
        const json& end = *request.ends.front();
        const std::string what = text_field(end, "what");
        // A response whose connection breaks after the head is a final response that failed: the
        // client never takes it for a complete one.
        const bool is_final =
            what == "answer" || (what == "broken" && end.value("head_seen", false));
        if (!is_final && !is_excused)
            add_violation(invariant, fmt::format("{}: {} at gateway {}", id, what, gateway));
        if (is_final && time_of(end) > latest_end && !is_excused)
            add_violation(invariant, fmt::format("{}: response {} ms after its deadline", id,
                                                 (time_of(end) - latest_end) / 1000));
        for (const json* record : request.received)
            if (is_final && time_of(*record) > time_of(end) + settings_.time_tolerance.count())
                add_violation(invariant, fmt::format("{}: sent to {} after its final response", id,
                                                     text_field(*record, "host")));
    }

    void check_counted_once(const std::string& id, const RequestRecords& request) {
        constexpr Invariant invariant = Invariant::each_request_counted_once;
        count_check(invariant);
        if (!request.sent && !request.received.empty())
            add_violation(invariant,
                          fmt::format("{}: received by a host but sent by no client", id));
        if (request.sent_count > 1)
            add_violation(invariant,
                          fmt::format("{}: sent {} times by clients", id, request.sent_count));
        std::set<int> attempts;
        for (const json* record : request.received)
            if (!attempts.insert(record->value("attempt", -1)).second)
                add_violation(invariant, fmt::format("{}: attempt {} received twice", id,
                                                     record->value("attempt", -1)));
        for (const json* record : request.received)
            if (request.sent && record->value("units", 0.0) != request.sent->value("units", 0.0))
                add_violation(invariant,
                              fmt::format("{}: units differ between client and host", id));
    }

    // An operation that is not safe runs at most once on all hosts, over all requests and gateways
    // that sent it. A rejection states that nothing ran, so no host may have accepted an unsafe
    // request before its rejection.
    void check_effects() {
        constexpr Invariant invariant = Invariant::no_duplicate_effect;
        std::map<std::string, int> runs;
        for (const json& record : records_)
            if (text_field(record, "who") == "host" && text_field(record, "what") == "ran" &&
                text_field(record, "effect") != "safe")
                ++runs[text_field(record, "op")];
        for (const auto& [op, count] : runs) {
            count_check(invariant);
            if (count > 1) add_violation(invariant, fmt::format("{}: ran {} times", op, count));
        }
        static const std::set<std::string> rejections = {"quota",   "ceiling",   "open", "pressed",
                                                         "no-host", "no-answer", "late"};
        for (const auto& [id, request] : requests_) {
            if (!request.sent || text_field(*request.sent, "effect") != "unsafe") continue;
            count_check(invariant);
            const bool is_rejected = !request.ends.empty() && rejections.contains(text_field(
                                                                  *request.ends.front(), "reason"));
            for (const json* record : request.received)
                if (is_rejected && record->value("taken", false))
                    add_violation(invariant, fmt::format("{}: rejected although {} had taken it",
                                                         id, text_field(*record, "host")));
        }
    }

    void check_drains() {
        constexpr Invariant invariant = Invariant::drains_respected;
        struct ListedState {
            Time since;
            bool is_healthy;
        };
        std::map<std::pair<int, std::string>, std::vector<ListedState>>
            states;  // by gateway and host
        std::map<int, std::set<std::string>> listed;
        for (const json& record : records_) {
            if (text_field(record, "who") == "drill" && text_field(record, "what") == "killed")
                listed.erase(record.value("gateway", 0));
            if (text_field(record, "who") != "roster" || text_field(record, "what") != "told")
                continue;
            const int gateway = record.value("gateway", 0);
            for (const std::string& host : listed[gateway])
                if (!record["hosts"].contains(host))
                    states[{gateway, host}].push_back({time_of(record), false});
            for (const auto& [host, state] : record["hosts"].items()) {
                listed[gateway].insert(host);
                states[{gateway, host}].push_back({time_of(record), state == "HEALTHY"});
            }
        }
        for (const json& record : records_) {
            if (text_field(record, "who") != "host" || text_field(record, "what") != "received")
                continue;
            const auto it = states.find({record.value("gateway", 0), text_field(record, "host")});
            if (it == states.end()) continue;
            count_check(invariant);
            std::optional<Time> down_since;  // when the gateway received the change
            for (const ListedState& state : it->second) {
                if (state.since > time_of(record)) break;
                if (state.is_healthy)
                    down_since.reset();
                else if (!down_since)
                    down_since = state.since;
            }
            if (down_since && time_of(record) > *down_since + settings_.drain_grace.count() +
                                                    settings_.time_tolerance.count())
                add_violation(invariant,
                              fmt::format("{}: sent to {} by gateway {}, {} ms after it was listed "
                                          "as draining or removed",
                                          text_field(record, "id"), text_field(record, "host"),
                                          record.value("gateway", 0),
                                          (time_of(record) - *down_since) / 1000));
        }
    }

    // The work that a starting host receives within any overload window stays below the overload
    // factor times the work that it can do in that time.
    void check_cold_hosts() {
        constexpr Invariant invariant = Invariant::no_cold_host_overloaded;
        if (settings_.overload_factor <= 0) return;
        struct HostRun {
            Time start = 0;
            double full_capacity = 0;
            bool is_cold = false;
            std::vector<std::pair<Time, double>> arrivals;
        };
        std::map<std::string, HostRun> runs;
        const auto check = [&](const std::string& host, const HostRun& run) {
            if (!run.is_cold) return;
            std::size_t from = 0;
            double work_sum = 0;
            for (std::size_t i = 0; i < run.arrivals.size(); ++i) {
                const auto& [time, work] = run.arrivals[i];
                if (time - run.start > settings_.slow_start_window.count()) return;
                count_check(invariant);
                work_sum += work;
                while (run.arrivals[from].first + settings_.overload_window.count() < time)
                    work_sum -= run.arrivals[from++].second;
                const double age = static_cast<double>(time - run.start) /
                                   static_cast<double>(settings_.slow_start_window.count());
                const double capacity =
                    run.full_capacity * (settings_.initial_capacity_share +
                                         (1 - settings_.initial_capacity_share) * age);
                const double window_s =
                    static_cast<double>(settings_.overload_window.count()) / 1e6;
                if (work_sum > settings_.overload_factor * capacity * window_s + 2 * work)
                    return add_violation(
                        invariant,
                        fmt::format(
                            "{}: {:.2f} s of work in {:.1f} s, {:.1f} s after its cold start", host,
                            work_sum, window_s, static_cast<double>(time - run.start) / 1e6));
            }
        };
        for (const json& record : records_) {
            if (text_field(record, "who") != "host") continue;
            const std::string what = text_field(record, "what"), host = text_field(record, "host");
            HostRun& run = runs[host];
            if (what == "started") {
                check(host, run);
                run = {time_of(record),
                       record.value("full_capacity", 0.0),
                       record.value("cold", false),
                       {}};
                if (run.is_cold) count_check(invariant);
            } else if (what == "received") {
                run.arrivals.emplace_back(time_of(record), record.value("work_us", 0.0) / 1e6);
            } else if (what == "fell") {
                add_violation(invariant, fmt::format("{}: failed from overload", host));
            }
        }
        for (const auto& [host, run] : runs)
            check(host, run);
    }

    void check_ceilings() {
        constexpr Invariant invariant = Invariant::ceilings_respected;
        struct TokenBucket {
            double level;
            Time updated_at = 0;
            bool is_reported = false;
        };
        std::map<std::string, TokenBucket> buckets;
        std::set<std::string> counted_ids;
        for (const json& record : records_) {
            if (text_field(record, "who") != "host" || text_field(record, "what") != "received")
                continue;
            const std::string id = text_field(record, "id");
            const auto request = requests_.find(id);
            if (request == requests_.end() || !request->second.sent ||
                !counted_ids.insert(id).second)
                continue;
            const std::string account = text_field(*request->second.sent, "account");
            const auto ceiling = settings_.ceilings.find(account);
            if (ceiling == settings_.ceilings.end()) continue;
            count_check(invariant);
            const Ceiling& limits = ceiling->second;
            auto [it, is_new] =
                buckets.try_emplace(account, TokenBucket{limits.burst, time_of(record)});
            TokenBucket& bucket = it->second;
            bucket.level = std::min(
                limits.burst,
                bucket.level +
                    limits.rate * static_cast<double>(time_of(record) - bucket.updated_at) / 1e6);
            bucket.updated_at = time_of(record);
            const double units = record.value("units", 1.0);
            bucket.level -= units;
            if (bucket.level <
                    -std::max(settings_.ceiling_tolerance * limits.burst, units) - 1e-9 &&
                !std::exchange(bucket.is_reported, true))
                add_violation(invariant, fmt::format("{}: {:.1f} units beyond its ceiling at {}",
                                                     account, -bucket.level, id));
        }
    }

    const std::vector<json>& records_;
    const CheckSettings& settings_;
    CheckReport report_;
    std::map<std::string, RequestRecords> requests_;
    std::map<int, std::vector<std::pair<Time, bool>>> process_changes_;
    std::map<Invariant, std::size_t> reported_counts_, omitted_counts_;
};
}  // namespace

std::string_view to_string(Invariant invariant) {
    constexpr std::array<std::string_view, invariant_count> names = {
        "one final answer in time", "no effect twice", "drains kept",
        "no cold host pushed over", "ceilings kept",   "each try counted once"};
    return names[static_cast<std::size_t>(invariant)];
}
bool CheckReport::has_violation(Invariant invariant) const {
    return std::any_of(violations.begin(), violations.end(),
                       [&](const auto& violation) { return violation.first == invariant; });
}

CheckReport check_invariants(std::vector<json> records, const CheckSettings& settings) {
    std::stable_sort(records.begin(), records.end(), [](const json& a, const json& b) {
        return a["t"].get<Time>() < b["t"].get<Time>();
    });
    return InvariantChecker(records, settings).run();
}

std::string format_summary(const std::vector<json>& records) {
    std::map<std::string, std::string> account_by_id;
    std::map<std::string, std::map<std::string, int>> by_account;
    std::map<std::string, int> sent;
    std::set<std::string> reasons;
    for (const json& record : records)
        if (record.value("who", "") == "client" && record.value("what", "") == "sent") {
            account_by_id[record.value("id", "")] = record.value("account", "");
            ++sent[record.value("account", "")];
        }
    for (const json& record : records) {
        if (record.value("who", "") != "client" || record.value("what", "") == "sent") continue;
        std::string outcome = record.value("what", "");
        if (outcome == "answer")
            outcome = record.value("status", 0) < 400 ? "served"
                      : record.value("reason", "").empty() || record.value("reason", "") == "blank"
                          ? fmt::format("{}", record.value("status", 0))
                          : record.value("reason", "");
        reasons.insert(outcome);
        ++by_account[account_by_id[record.value("id", "")]][outcome];
    }
    std::string out = fmt::format("{:<14}{:>7}", "account", "tries");
    for (const std::string& reason : reasons)
        out += fmt::format("{:>12}", reason);
    out += "\n";
    for (const auto& [account, count] : sent) {
        out += fmt::format("{:<14}{:>7}", account, count);
        for (const std::string& reason : reasons)
            out += fmt::format("{:>12}", by_account[account][reason]);
        out += "\n";
    }
    return out;
}

std::string format_report(const CheckReport& report) {
    std::string out;
    for (int i = 0; i < invariant_count; ++i) {
        const Invariant invariant = static_cast<Invariant>(i);
        const auto it = report.check_counts.find(invariant);
        out += fmt::format("{:<26}{:<8}{} facts\n", to_string(invariant),
                           report.has_violation(invariant) ? "BROKEN" : "kept",
                           it == report.check_counts.end() ? 0 : it->second);
    }
    for (const auto& [invariant, what] : report.violations)
        out += fmt::format("  {}: {}\n", to_string(invariant), what);
    return out;
}

}  // namespace silverreach::scenario

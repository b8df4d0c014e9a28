#include "scenario_runner/fleet/fleet_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t enough = 50;  // refusals from which a quantile says something
constexpr Micros settled = 3s, window = 5s, window_step = 250ms, known_after = 1s;

double ms(Micros t) {
    return static_cast<double>(t.count()) / 1e3;
}
double seconds(Micros t) {
    return static_cast<double>(t.count()) / 1e6;
}
double quantile(std::vector<double>& of, double q) {
    if (of.empty()) return 0;
    const auto at = static_cast<std::size_t>(std::ceil(q * static_cast<double>(of.size()))) - 1;
    std::nth_element(of.begin(), of.begin() + static_cast<std::ptrdiff_t>(at), of.end());
    return of[at];
}

// What an account may use a second: its quota, its ceiling, or the lower of both.
double rate_of(const FleetDay& day) {
    const double most = 1e12, ceiling = day.ceiling > 0 ? day.ceiling : most;
    return std::min(day.quota > 0 ? day.quota : most, ceiling);
}

// Served in the worst window over what an ideal single bucket would have let through there: the
// demand, or the quota's rate where that is less. Refused demand of an account far over its quota
// is not missed.
double worst_window(const FleetDay& day, const std::vector<FleetTry>& tries) {
    std::vector<FleetTry> by_time = tries;
    std::sort(by_time.begin(), by_time.end(),
              [](const auto& a, const auto& b) { return a.sent < b.sent; });
    double worst = 1;
    for (Micros from = settled; from + window <= day.length; from += window_step) {
        double asked = 0, served = 0;
        auto it = std::lower_bound(by_time.begin(), by_time.end(), from,
                                   [](const FleetTry& t, Micros at) { return t.sent < at; });
        for (; it != by_time.end() && it->sent < from + window; ++it) {
            asked += 1;
            served += it->ending == Ending::served;
        }
        const double allowed = std::min(asked, rate_of(day) * seconds(window));
        // A handful of requests says nothing of a share.
        if (allowed >= 20) worst = std::min(worst, served / allowed);
    }
    return worst;
}
}  // namespace

double over_bucket(const std::vector<FleetTry>& tries, double rate, double burst) {
    std::vector<Micros> sent;
    for (const FleetTry& t : tries)
        if (t.at_host >= 0us) sent.push_back(t.at_host);
    std::sort(sent.begin(), sent.end());
    double level = burst, over = 0;
    Micros last{0};
    for (const Micros at : sent) {
        level = std::min(burst, level + rate * seconds(at - last)) - 1;
        last = at;
        over = std::max(over, -level);
    }
    return over;
}

FleetRow measure(const FleetDay& day, const std::vector<FleetTry>& tries,
                 const FleetTraffic& traffic) {
    FleetRow row;
    std::map<int, std::vector<FleetTry>> by_account;
    std::map<std::pair<int, int>, Micros> first_seen;
    std::vector<double> whole, wait, host, refusal;
    double late_served = 0;
    std::vector<FleetTry> in_order = tries;
    std::sort(in_order.begin(), in_order.end(),
              [](const auto& a, const auto& b) { return a.sent < b.sent; });
    for (const FleetTry& t : in_order) {
        ++row.tries;
        by_account[t.account].push_back(t);
        const Micros first = first_seen.try_emplace({t.account, t.instance}, t.sent).first->second;
        const bool known = t.sent - first >= known_after;
        switch (t.ending) {
            case Ending::open:
                ++row.open;
                break;
            case Ending::served:
                ++row.served;
                late_served += t.sent >= settled;
                if (!known) break;
                whole.push_back(ms(t.ended - t.sent));
                if (t.at_host >= 0us)
                    wait.push_back(ms(t.at_host - t.sent)), host.push_back(ms(t.ended - t.at_host));
                break;
            case Ending::quota:
                ++row.quota;
                break;
            case Ending::ceiling:
                ++row.ceiling;
                break;
            case Ending::refused:
                ++row.refused;
                break;
            case Ending::failed:
                ++row.failed;
                break;
        }
        if (known && t.ending >= Ending::quota && t.ending <= Ending::refused)
            refusal.push_back(ms(t.ended - t.sent));
    }
    for (const auto& [account, own] : by_account) {
        row.worst_served = std::min(row.worst_served, worst_window(day, own));
        if (day.quota > 0)
            row.over = std::max(row.over, over_bucket(own, day.quota, burst_of(day)));
        if (day.ceiling > 0)
            row.ceiling_over =
                std::max(row.ceiling_over, over_bucket(own, day.ceiling, day.ceiling_burst));
    }
    row.served_s = late_served / std::max(1e-3, seconds(day.length - settled));
    row.p50_ms = quantile(whole, 0.5), row.p90_ms = quantile(whole, 0.9),
    row.p99_ms = quantile(whole, 0.99);
    row.wait50_ms = quantile(wait, 0.5), row.wait99_ms = quantile(wait, 0.99);
    row.host99_ms = quantile(host, 0.99),
    row.refusal99_ms = refusal.size() < enough ? 0 : quantile(refusal, 0.99);
    const double length = seconds(day.length),
                 served = std::max(1.0, static_cast<double>(row.served));
    row.messages_s = static_cast<double>(traffic.messages) / length;
    row.bytes_s = static_cast<double>(traffic.bytes) / length;
    row.messages_a_request = static_cast<double>(traffic.messages) / served;
    row.cpu_us_a_request = traffic.cpu_s * 1e6 / served;
    return row;
}

std::vector<std::string> held_against(const FleetDay& day, const FleetRow& row) {
    std::vector<std::string> broken;
    if (row.open > 0) broken.push_back(fmt::format("{} tries without an end", row.open));
    if (row.tries == 0 || row.served == 0)
        broken.emplace_back("nothing was served: the day proves nothing");
    if (day.least_served > 0 && row.worst_served < day.least_served)
        broken.push_back(fmt::format("served {:.3f} in the worst 5 s, bound {:.3f}",
                                     row.worst_served, day.least_served));
    if (day.most_over > 0 && row.over > day.most_over)
        broken.push_back(
            fmt::format("{:.1f} units over the quota, bound {:.1f}", row.over, day.most_over));
    // The ceiling's slack is the rule's: a tenth, or the largest request.
    if (day.ceiling > 0 && row.ceiling_over > std::max(1.0, 0.1 * day.ceiling_burst))
        broken.push_back(fmt::format("{:.1f} units over the ceiling", row.ceiling_over));
    if (day.most_wait_ms > 0 && row.wait99_ms > day.most_wait_ms)
        broken.push_back(fmt::format("p99 of the wait for leave {:.2f} ms, bound {:.2f}",
                                     row.wait99_ms, day.most_wait_ms));
    if (day.most_refusal_ms > 0 && row.refusal99_ms > day.most_refusal_ms)
        broken.push_back(fmt::format("p99 of refusals {:.2f} ms, bound {:.2f}", row.refusal99_ms,
                                     day.most_refusal_ms));
    return broken;
}

std::string fleet_heading() {
    return fmt::format(
        "{:<34} {:>4} {:>6} {:>7} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} "
        "{:>8} {:>7} "
        "{:>7}\n",
        "day", "inst", "quota", "offered", "served/s", "worst5", "over", "ceil", "p50ms", "p99ms",
        "wait99", "host99", "refus99", "msg/s", "bytes/s", "msg/req", "cpu_us");
}
std::string text_of(const FleetDay& day, const FleetRow& row) {
    return fmt::format(
        "{:<34} {:>4} {:>6.0f} {:>7.0f} {:>8.1f} {:>6.3f} {:>6.1f} {:>6.1f} {:>7.2f} {:>7.2f} "
        "{:>7.2f} "
        "{:>7.2f} {:>7.2f} "
        "{:>8.1f} {:>8.0f} {:>7.3f} {:>7.1f}\n",
        day.name, day.instances, day.quota, day.offered * day.accounts, row.served_s,
        row.worst_served, row.over, row.ceiling_over, row.p50_ms, row.p99_ms, row.wait99_ms,
        row.host99_ms, row.refusal99_ms, row.messages_s, row.bytes_s, row.messages_a_request,
        row.cpu_us_a_request);
}

}  // namespace silverreach::scenario

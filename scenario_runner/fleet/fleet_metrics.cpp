#include "scenario_runner/fleet/fleet_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t min_samples = 50;  // rejections below which no quantile is reported
// Served shares and rates are measured after `start_up_time`, latencies once the account has sent
// requests through the instance for `account_start_up_time`.
constexpr Micros start_up_time = 3s, window = 5s, window_step = 250ms, account_start_up_time = 1s;

double ms(Micros duration) {
    return static_cast<double>(duration.count()) / 1e3;
}
double seconds(Micros duration) {
    return static_cast<double>(duration.count()) / 1e6;
}
double quantile(std::vector<double>& values, double fraction) {
    if (values.empty()) return 0;
    const auto index =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size()))) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

// Units per second that an account may use: the lower one of quota and ceiling.
double rate_of(const FleetScenario& scenario) {
    const double unlimited = 1e12, ceiling = scenario.ceiling > 0 ? scenario.ceiling : unlimited;
    return std::min(scenario.quota > 0 ? scenario.quota : unlimited, ceiling);
}

// Served share of what one ideal token bucket would admit, in the worst window: of the demand, or
// of the quota's rate where that is lower. Rejected demand beyond the quota does not count.
double worst_window_share(const FleetScenario& scenario,
                          const std::vector<FleetRequest>& requests) {
    std::vector<FleetRequest> by_time = requests;
    std::sort(by_time.begin(), by_time.end(),
              [](const auto& a, const auto& b) { return a.sent_at < b.sent_at; });
    double worst = 1;
    for (Micros from = start_up_time; from + window <= scenario.duration; from += window_step) {
        double demand = 0, served = 0;
        auto it = std::lower_bound(
            by_time.begin(), by_time.end(), from,
            [](const FleetRequest& request, Micros at) { return request.sent_at < at; });
        for (; it != by_time.end() && it->sent_at < from + window; ++it) {
            demand += 1;
            served += it->outcome == RequestOutcome::served;
        }
        const double allowed = std::min(demand, rate_of(scenario) * seconds(window));
        // A share of few requests has no significance.
        if (allowed >= 20) worst = std::min(worst, served / allowed);
    }
    return worst;
}
}  // namespace

double max_bucket_excess(const std::vector<FleetRequest>& requests, double rate, double burst) {
    std::vector<Micros> received;
    for (const FleetRequest& request : requests)
        if (request.received_at >= 0us) received.push_back(request.received_at);
    std::sort(received.begin(), received.end());
    double level = burst, max_excess = 0;
    Micros last{0};
    for (const Micros at : received) {
        level = std::min(burst, level + rate * seconds(at - last)) - 1;
        last = at;
        max_excess = std::max(max_excess, -level);
    }
    return max_excess;
}

FleetMetrics measure(const FleetScenario& scenario, const std::vector<FleetRequest>& requests,
                     const FleetTraffic& traffic) {
    FleetMetrics metrics;
    std::map<int, std::vector<FleetRequest>> by_account;
    std::map<std::pair<int, int>, Micros> first_seen;
    std::vector<double> latency, wait, host, rejection;
    double served_after_start = 0;
    std::vector<FleetRequest> in_order = requests;
    std::sort(in_order.begin(), in_order.end(),
              [](const auto& a, const auto& b) { return a.sent_at < b.sent_at; });
    for (const FleetRequest& request : in_order) {
        ++metrics.requests;
        by_account[request.account].push_back(request);
        const Micros first =
            first_seen.try_emplace({request.account, request.instance}, request.sent_at)
                .first->second;
        const bool is_established = request.sent_at - first >= account_start_up_time;
        switch (request.outcome) {
            case RequestOutcome::unfinished:
                ++metrics.unfinished;
                break;
            case RequestOutcome::served:
                ++metrics.served;
                served_after_start += request.sent_at >= start_up_time;
                if (!is_established) break;
                latency.push_back(ms(request.ended_at - request.sent_at));
                if (request.received_at >= 0us)
                    wait.push_back(ms(request.received_at - request.sent_at)),
                        host.push_back(ms(request.ended_at - request.received_at));
                break;
            case RequestOutcome::quota:
                ++metrics.quota;
                break;
            case RequestOutcome::ceiling:
                ++metrics.ceiling;
                break;
            case RequestOutcome::rejected:
                ++metrics.rejected;
                break;
            case RequestOutcome::failed:
                ++metrics.failed;
                break;
        }
        if (is_established && request.outcome >= RequestOutcome::quota &&
            request.outcome <= RequestOutcome::rejected)
            rejection.push_back(ms(request.ended_at - request.sent_at));
    }
    for (const auto& [account, account_requests] : by_account) {
        metrics.worst_served_share =
            std::min(metrics.worst_served_share, worst_window_share(scenario, account_requests));
        if (scenario.quota > 0)
            metrics.quota_excess = std::max(
                metrics.quota_excess,
                max_bucket_excess(account_requests, scenario.quota, effective_burst(scenario)));
        if (scenario.ceiling > 0)
            metrics.ceiling_excess = std::max(
                metrics.ceiling_excess,
                max_bucket_excess(account_requests, scenario.ceiling, scenario.ceiling_burst));
    }
    metrics.served_per_second =
        served_after_start / std::max(1e-3, seconds(scenario.duration - start_up_time));
    metrics.p50_ms = quantile(latency, 0.5), metrics.p90_ms = quantile(latency, 0.9),
    metrics.p99_ms = quantile(latency, 0.99);
    metrics.wait_p50_ms = quantile(wait, 0.5), metrics.wait_p99_ms = quantile(wait, 0.99);
    metrics.host_p99_ms = quantile(host, 0.99),
    metrics.rejection_p99_ms = rejection.size() < min_samples ? 0 : quantile(rejection, 0.99);
    const double duration = seconds(scenario.duration),
                 served = std::max(1.0, static_cast<double>(metrics.served));
    metrics.messages_per_second = static_cast<double>(traffic.messages) / duration;
    metrics.bytes_per_second = static_cast<double>(traffic.bytes) / duration;
    metrics.messages_per_request = static_cast<double>(traffic.messages) / served;
    metrics.cpu_us_per_request = traffic.cpu_s * 1e6 / served;
    return metrics;
}

std::vector<std::string> find_broken_bounds(const FleetScenario& scenario,
                                            const FleetMetrics& metrics) {
    std::vector<std::string> violations;
    if (metrics.unfinished > 0)
        violations.push_back(fmt::format("{} requests without an end", metrics.unfinished));
    if (metrics.requests == 0 || metrics.served == 0)
        violations.emplace_back("no request was served: the result is not valid");
    if (scenario.min_served_share > 0 && metrics.worst_served_share < scenario.min_served_share)
        violations.push_back(fmt::format("served {:.3f} in the worst 5 s, bound {:.3f}",
                                         metrics.worst_served_share, scenario.min_served_share));
    if (scenario.max_quota_excess > 0 && metrics.quota_excess > scenario.max_quota_excess)
        violations.push_back(fmt::format("{:.1f} units over the quota, bound {:.1f}",
                                         metrics.quota_excess, scenario.max_quota_excess));
    // The tolerance of the ceiling invariant: a tenth of the burst, or the largest request.
    if (scenario.ceiling > 0 &&
        metrics.ceiling_excess > std::max(1.0, 0.1 * scenario.ceiling_burst))
        violations.push_back(fmt::format("{:.1f} units over the ceiling", metrics.ceiling_excess));
    if (scenario.max_wait_p99_ms > 0 && metrics.wait_p99_ms > scenario.max_wait_p99_ms)
        violations.push_back(fmt::format("p99 of the admission wait {:.2f} ms, bound {:.2f}",
                                         metrics.wait_p99_ms, scenario.max_wait_p99_ms));
    if (scenario.max_rejection_p99_ms > 0 &&
        metrics.rejection_p99_ms > scenario.max_rejection_p99_ms)
        violations.push_back(fmt::format("p99 of rejections {:.2f} ms, bound {:.2f}",
                                         metrics.rejection_p99_ms, scenario.max_rejection_p99_ms));
    return violations;
}

std::string format_heading() {
    return fmt::format(
        "{:<34} {:>4} {:>6} {:>7} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} "
        "{:>8} {:>7} "
        "{:>7}\n",
        "day", "inst", "quota", "offered", "served/s", "worst5", "over", "ceil", "p50ms", "p99ms",
        "wait99", "host99", "refus99", "msg/s", "bytes/s", "msg/req", "cpu_us");
}
std::string format_row(const FleetScenario& scenario, const FleetMetrics& metrics) {
    return fmt::format(
        "{:<34} {:>4} {:>6.0f} {:>7.0f} {:>8.1f} {:>6.3f} {:>6.1f} {:>6.1f} {:>7.2f} {:>7.2f} "
        "{:>7.2f} "
        "{:>7.2f} {:>7.2f} "
        "{:>8.1f} {:>8.0f} {:>7.3f} {:>7.1f}\n",
        scenario.name, scenario.instances, scenario.quota,
        scenario.offered_rate * scenario.accounts, metrics.served_per_second,
        metrics.worst_served_share, metrics.quota_excess, metrics.ceiling_excess, metrics.p50_ms,
        metrics.p99_ms, metrics.wait_p99_ms, metrics.host_p99_ms, metrics.rejection_p99_ms,
        metrics.messages_per_second, metrics.bytes_per_second, metrics.messages_per_request,
        metrics.cpu_us_per_request);
}

}  // namespace silverreach::scenario

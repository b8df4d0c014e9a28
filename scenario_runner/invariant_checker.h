// Checks the invariants of a scenario run from the records of the fakes alone. No I/O.
#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace silverreach::scenario {

using Micros = std::chrono::microseconds;

struct Ceiling {
    double rate = 0, burst = 0;  // units per second, units
};
struct CheckSettings {  // limits and parameters of the invariants
    Micros time_tolerance{30'000}, drain_grace{0};
    Micros slow_start_window{0}, overload_window{0};
    double initial_capacity_share = 1, overload_factor = 0;
    double ceiling_tolerance = 0.1;           // share of the ceiling's burst
    std::map<std::string, Ceiling> ceilings;  // by account
};

enum class Invariant {
    one_final_response,
    no_duplicate_effect,
    drains_respected,
    no_cold_host_overloaded,
    ceilings_respected,
    each_request_counted_once
};
inline constexpr int invariant_count = 6;
std::string_view to_string(Invariant invariant);

struct CheckReport {
    std::vector<std::pair<Invariant, std::string>> violations;
    // Number of facts checked for each invariant; with 0 facts the invariant is untested.
    std::map<Invariant, std::uint64_t> check_counts;
    bool passed() const { return violations.empty(); }
    bool has_violation(Invariant invariant) const;
};

// `records`: of all fakes, in any order.
CheckReport check_invariants(std::vector<nlohmann::json> records, const CheckSettings& settings);

// Returns a table of the outcomes of client requests by account.
std::string format_summary(const std::vector<nlohmann::json>& records);
std::string format_report(const CheckReport& report);

}  // namespace silverreach::scenario

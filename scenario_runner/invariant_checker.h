// Judges a day from what passed on the stand-ins' sockets, and from nothing else. No I/O.
#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace silverreach::scenario {

using Micros = std::chrono::microseconds;

struct Ceiling {
    double rate = 0, burst = 0;
};
struct Terms {  // what the rules' figures are on the day
    Micros slack{30'000}, drain_grace{0};
    Micros cold{0}, fall_time{0};
    double start_capacity = 1, fall_multiple = 0;
    double ceiling_slack = 0.1;
    std::map<std::string, Ceiling> ceilings;  // by account
};

enum class Rule {
    one_answer,
    no_effect_twice,
    drains_kept,
    no_cold_host_pushed_over,
    ceilings_kept,
    counted_once
};
inline constexpr int rules = 6;
std::string_view to_string(Rule rule);

struct Verdict {
    std::vector<std::pair<Rule, std::string>> broken;
    std::map<Rule, std::uint64_t>
        looked_at;  // facts that each rule was held against; 0 proves nothing
    bool kept() const { return broken.empty(); }
    bool broke(Rule rule) const;
};

// `records`: of all stand-ins, in any order.
Verdict judge(std::vector<nlohmann::json> records, const Terms& terms);

// Who was served, refused and why, by account, as a table for people.
std::string summary(const std::vector<nlohmann::json>& records);
std::string text_of(const Verdict& verdict);

}  // namespace silverreach::scenario

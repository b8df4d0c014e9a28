#include "settings_json/settings_json.h"

#include <cmath>
#include <string>

namespace silverreach::settings_json {
namespace {
constexpr double most_integer = 4e18;
}  // namespace

void bad(std::string_view what, std::string_view expected) {
    throw BadValue(std::string(what) + ": expected " + std::string(expected));
}

double as_number(element e, std::string_view what) {
    double value = 0;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "a number");
    return value;
}
std::int64_t as_integer(element e, std::string_view what) {
    std::int64_t value = 0;
    if (e.get(value) == simdjson::SUCCESS) return value;
    const double wide = as_number(e, what);
    if (wide != std::floor(wide) || std::abs(wide) > most_integer) bad(what, "an integer");
    return static_cast<std::int64_t>(wide);
}
std::uint64_t as_unsigned(element e, std::string_view what) {
    std::uint64_t value = 0;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "a whole number not below 0");
    return value;
}
std::string_view as_text(element e, std::string_view what) {
    std::string_view value;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "text");
    return value;
}
bool as_bool(element e, std::string_view what) {
    bool value = false;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "true or false");
    return value;
}
array as_array(element e, std::string_view what) {
    array value;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "an array");
    return value;
}
object as_object(element e, std::string_view what) {
    object value;
    if (e.get(value) != simdjson::SUCCESS) bad(what, "an object");
    return value;
}

element required(object o, std::string_view key) {
    element e;
    if (o[key].get(e) != simdjson::SUCCESS)
        bad("setting '" + std::string(key) + "' is missing", "a value");
    return e;
}
std::optional<element> optional_key(object o, std::string_view key) {
    element e;
    if (o[key].get(e) != simdjson::SUCCESS || e.is_null()) return std::nullopt;
    return e;
}
void read(object o, std::string_view key, double& into) {
    if (auto e = optional_key(o, key)) into = as_number(*e, key);
}
void read(object o, std::string_view key, int& into) {
    if (auto e = optional_key(o, key)) into = static_cast<int>(as_integer(*e, key));
}
void read(object o, std::string_view key, bool& into) {
    if (auto e = optional_key(o, key)) into = as_bool(*e, key);
}
void read(object o, std::string_view key, Micros& into) {
    if (auto e = optional_key(o, key)) into = Micros(as_integer(*e, key));
}

namespace {
RequestClass read_class(object o) {
    RequestClass c;
    c.name = as_text(required(o, "name"), "name");
    const std::string_view effect = as_text(required(o, "effect"), "effect");
    if (effect == "retryable")
        c.idempotency = Idempotency::idempotent;
    else if (effect == "dedup")
        c.idempotency = Idempotency::idempotency_key;
    else if (effect == "fragile")
        c.idempotency = Idempotency::non_idempotent;
    else
        bad("effect", "retryable, dedup or fragile");
    if (auto scope = optional_key(o, "dedupScope")) {
        const std::string_view name = as_text(*scope, "dedupScope");
        c.deduplication_scope = name == "all"    ? DeduplicationScope::all
                                : name == "zone" ? DeduplicationScope::zone
                                                 : DeduplicationScope::cell;
    }
    c.deadline = Micros(as_integer(required(o, "deadlineUs"), "deadlineUs"));
    c.latency_objective = c.deadline;
    read(o, "promiseUs", c.latency_objective);
    read(o, "repeatWindowUs", c.deduplication_window);
    read(o, "value", c.priority_weight);
    read(o, "lateWorth", c.late_weight_factor);
    return c;
}

Plan read_plan(object o) {
    Plan p;
    p.name = as_text(required(o, "name"), "name");
    read(o, "rate", p.rate);
    read(o, "mostAtOnce", p.burst);
    read(o, "maxOut", p.max_concurrent_attempts);
    read(o, "worthFactor", p.priority_factor);
    read(o, "excessWorth", p.excess_weight_factor);
    read(o, "excessCost", p.excess_cost_factor);
    read(o, "hardRate", p.ceiling_rate);
    read(o, "hardBurst", p.ceiling_burst);
    return p;
}

}  // namespace

Settings read_settings(object o) {
    Settings s;
    s.rank = static_cast<int>(as_integer(required(o, "rank"), "rank"));
    s.instance_count = static_cast<int>(as_integer(required(o, "instances"), "instances"));
    if (auto zone = optional_key(o, "locality")) s.zone = as_text(*zone, "locality");
    for (element e : as_array(required(o, "requestClasses"), "requestClasses"))
        s.classes.push_back(read_class(as_object(e, "requestClasses[]")));
    if (auto plans = optional_key(o, "tiersOfService"))
        for (element e : as_array(*plans, "tiersOfService"))
            s.plans.push_back(read_plan(as_object(e, "tiersOfService[]")));
    const object limits = as_object(required(o, "ceilings"), "ceilings");
    read(limits, "maxAttempts", s.max_attempts);
    read(limits, "mayDuplicate", s.may_hedge);
    read(limits, "cancel", s.may_cancel);
    read(limits, "probes", s.may_health_check);
    read(limits, "peers", s.may_message_peers);
    read(limits, "retryAfter", s.may_send_retry_after);
    read(limits, "maxRetryAfterUs", s.max_retry_after);
    if (auto e = optional_key(o, "familyInfo")) {
        const object info = as_object(*e, "familyInfo");
        read(info, "mailPerS", s.peer_messages_per_second);
        read(info, "truedUp", s.units_corrected_by_response);
    }
    if (auto e = optional_key(o, "reporting")) {
        const object reports = as_object(*e, "reporting");
        const std::string_view how = as_text(required(reports, "how"), "how");
        s.load_report_mode = how == "inline"     ? LoadReportMode::in_responses
                             : how == "on_probe" ? LoadReportMode::on_health_check
                                                 : LoadReportMode::none;
    }
    const object rules = as_object(required(o, "guarantees"), "guarantees");
    read(rules, "coldUs", s.slow_start_window);
    read(rules, "fallUs", s.overload_window);
    read(rules, "overloadFactor", s.overload_factor);
    read(rules, "startCapacity", s.initial_capacity_share);
    read(o, "tickUs", s.timer_tick);
    if (auto e = optional_key(o, "costs"))
        read(as_object(*e, "costs"), "crossZone", s.cross_zone_cost);
    return s;
}

}  // namespace silverreach::settings_json

#include "settings_json/settings_json.h"

#include <string_view>

namespace silverreach::settings_json {
namespace {

// An optional JSON key and the member that it sets.
template <class Struct, class Member>
struct Field {
    std::string_view key;
    Member Struct::*member;
};
template <class Struct, class Member>
Field(const char*, Member Struct::*) -> Field<Struct, Member>;

template <class Struct, class... Members>
void read_fields(object source, Struct& target, const Field<Struct, Members>&... fields) {
    (read(source, fields.key, target.*(fields.member)), ...);
}

Idempotency read_idempotency(object source) {
    const std::string_view effect = as_text(require_value(source, "effect"), "effect");
    if (effect == "retryable") return Idempotency::idempotent;
    if (effect == "dedup") return Idempotency::idempotency_key;
    if (effect == "fragile") return Idempotency::non_idempotent;
    throw ValueError("effect", "retryable, dedup or fragile");
}

DeduplicationScope read_deduplication_scope(element source) {
    const std::string_view scope = as_text(source, "dedupScope");
    if (scope == "all") return DeduplicationScope::all;
    if (scope == "zone") return DeduplicationScope::zone;
    return DeduplicationScope::cell;
}

LoadReportMode read_load_report_mode(object source) {
    const std::string_view mode = as_text(require_value(source, "how"), "how");
    if (mode == "inline") return LoadReportMode::in_responses;
    if (mode == "on_probe") return LoadReportMode::on_health_check;
    return LoadReportMode::none;
}

RequestClass read_class(object source) {
    RequestClass request_class;
    request_class.name = as_text(require_value(source, "name"), "name");
    request_class.idempotency = read_idempotency(source);
    if (const auto scope = find_value(source, "dedupScope"))
        request_class.deduplication_scope = read_deduplication_scope(*scope);
    request_class.deadline = Micros(as_integer(require_value(source, "deadlineUs"), "deadlineUs"));
    request_class.latency_objective = request_class.deadline;
    read_fields(source, request_class,  //
                Field{"promiseUs", &RequestClass::latency_objective},
                Field{"repeatWindowUs", &RequestClass::deduplication_window},
                Field{"value", &RequestClass::priority_weight},
                Field{"lateWorth", &RequestClass::late_weight_factor});
    return request_class;
}

Plan read_plan(object source) {
    Plan plan;
    plan.name = as_text(require_value(source, "name"), "name");
    read_fields(source, plan,  //
                Field{"rate", &Plan::rate}, Field{"mostAtOnce", &Plan::burst},
                Field{"maxOut", &Plan::max_concurrent_attempts},
                Field{"worthFactor", &Plan::priority_factor},
                Field{"excessWorth", &Plan::excess_weight_factor},
                Field{"excessCost", &Plan::excess_cost_factor},
                Field{"hardRate", &Plan::ceiling_rate}, Field{"hardBurst", &Plan::ceiling_burst});
    return plan;
}

void read_fleet_position(object source, Settings& settings) {
    settings.rank = as_int(require_value(source, "rank"), "rank");
    settings.instance_count = as_int(require_value(source, "instances"), "instances");
    if (const auto zone = find_value(source, "locality"))
        settings.zone = as_text(*zone, "locality");
}

void read_classes_and_plans(object source, Settings& settings) {
    for (element item : as_array(require_value(source, "requestClasses"), "requestClasses"))
        settings.classes.push_back(read_class(as_object(item, "requestClasses[]")));
    const auto plans = find_value(source, "tiersOfService");
    if (!plans) return;
    for (element item : as_array(*plans, "tiersOfService"))
        settings.plans.push_back(read_plan(as_object(item, "tiersOfService[]")));
}

void read_permissions(object source, Settings& settings) {
    read_fields(as_object(require_value(source, "ceilings"), "ceilings"), settings,
                Field{"maxAttempts", &Settings::max_attempts},
                Field{"mayDuplicate", &Settings::may_hedge}, Field{"cancel", &Settings::may_cancel},
                Field{"probes", &Settings::may_health_check},
                Field{"peers", &Settings::may_message_peers},
                Field{"retryAfter", &Settings::may_send_retry_after},
                Field{"maxRetryAfterUs", &Settings::max_retry_after});
    if (const auto family = find_value(source, "familyInfo"))
        read_fields(as_object(*family, "familyInfo"), settings,
                    Field{"mailPerS", &Settings::peer_messages_per_second},
                    Field{"truedUp", &Settings::units_corrected_by_response});
    if (const auto reporting = find_value(source, "reporting"))
        settings.load_report_mode = read_load_report_mode(as_object(*reporting, "reporting"));
}

void read_endpoint_behaviour(object source, Settings& settings) {
    read_fields(as_object(require_value(source, "guarantees"), "guarantees"), settings,
                Field{"coldUs", &Settings::slow_start_window},
                Field{"fallUs", &Settings::overload_window},
                Field{"overloadFactor", &Settings::overload_factor},
                Field{"startCapacity", &Settings::initial_capacity_share});
    read(source, "tickUs", settings.timer_tick);
    if (const auto costs = find_value(source, "costs"))
        read(as_object(*costs, "costs"), "crossZone", settings.cross_zone_cost);
}
}  // namespace

Settings read_settings(object source) {
    Settings settings;
    read_fleet_position(source, settings);
    read_classes_and_plans(source, settings);
    read_permissions(source, settings);
    read_endpoint_behaviour(source, settings);
    return settings;
}

}  // namespace silverreach::settings_json

#include "platform/request.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "resp/serializer.h"

namespace silverreach::platform {
namespace {
using namespace std::chrono_literals;
constexpr std::string_view query_command = "SVC.QUERY", submit_command = "SVC.SUBMIT";
constexpr std::size_t hex_digits = 16, max_list_bytes = 1024, max_name_bytes = 32,
                      max_value_bytes = 128;
constexpr std::uint64_t customer_id_limit = 1ull << 33;
constexpr std::int64_t max_deadline_ms = 3'600'000;

// Accepts lower case only: a customer written in two ways would have two quotas.
std::optional<std::uint64_t> parse_hex_id(std::string_view text) {
    std::uint64_t value = 0;
    if (text.size() != hex_digits) return std::nullopt;
    for (const char digit : text)
        if (!(digit >= '0' && digit <= '9') && !(digit >= 'a' && digit <= 'f')) return std::nullopt;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}
// `options`: further arguments of std::from_chars.
template <class T, class... Options>
std::optional<T> parse_number(std::string_view text, Options... options) {
    T value{};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, options...);
    if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
    return value;
}
bool is_plain_token(std::string_view text, std::size_t max_bytes) {
    return !text.empty() && text.size() <= max_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 0x7f && c != ','; });
}
}  // namespace

std::string UpstreamCommand::serialize(Micros remaining) const {
    // Rounded down, so that no host works past the deadline; at least 1 ms.
    const auto remaining_ms =
        std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(remaining).count());
    std::string bytes = prefix;
    resp::append_bulk(bytes,
                      list_before_deadline + std::to_string(remaining_ms) + list_after_deadline);
    return bytes += suffix;
}

CommandValidator::CommandValidator(const NodeConfig& config)
    : instance_count_(config.settings.instance_count), max_units_(std::max(1.0, config.max_units)) {
    const Settings& settings = config.settings;
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const RequestClass& request_class = settings.classes[i];
        classes_[request_class.name] = {
            static_cast<int>(i), request_class.idempotency == Idempotency::idempotent,
            request_class.idempotency == Idempotency::idempotency_key, request_class.deadline};
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i)
        plans_[settings.plans[i].name] = static_cast<int>(i);
}

bool CommandValidator::is_request(std::string_view command) {
    return command == query_command || command == submit_command;
}

Request CommandValidator::validate(const std::vector<std::string_view>& arguments) const {
    Request request;
    const auto reject = [&request](const char* reason) -> Request&& {
        return request.error = reason, std::move(request);
    };
    const bool is_query = arguments.front() == query_command;
    if (arguments.size() != (is_query ? 4 : 5)) return reject("wrong number of arguments");
    const auto customer = parse_hex_id(arguments[1]);
    if (!customer || *customer >= customer_id_limit)
        return reject("customer: expected 16 hex digits below 2^33");
    const auto id = parse_hex_id(arguments[2]);
    if (!id) return reject("id: expected 16 hex digits");
    request.id = *id;
    request.client_request.account = arguments[1];
    const std::string_view list = arguments[3];
    if (list.size() > max_list_bytes) return reject("list of values: too long");

    std::optional<ClassInfo> request_class;
    std::optional<int> plan;
    std::optional<std::int64_t> remaining_ms, subset_size, subset_start;
    std::optional<double> units;
    bool has_key = false;
    std::vector<std::string_view> seen_names;
    for (std::size_t pair_start = 0; pair_start <= list.size();) {
        const std::size_t pair_end = std::min(list.find(',', pair_start), list.size());
        const std::string_view pair = list.substr(pair_start, pair_end - pair_start);
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos) return reject("list of values: expected name=value");
        const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
        if (!is_plain_token(name, max_name_bytes) || !is_plain_token(value, max_value_bytes))
            return reject("list of values: expected name=value");
        if (std::find(seen_names.begin(), seen_names.end(), name) != seen_names.end())
            return reject("list of values: a name twice");
        seen_names.push_back(name);
        if (name == "c") {
            const auto class_entry = classes_.find(std::string(value));
            if (class_entry == classes_.end()) return reject("c: no such class");
            request_class = class_entry->second;
        } else if (name == "t") {
            const auto plan_entry = plans_.find(std::string(value));
            if (plan_entry == plans_.end()) return reject("t: no such plan");
            plan = plan_entry->second;
        } else if (name == "d") {
            remaining_ms = parse_number<std::int64_t>(value);
            if (!remaining_ms || *remaining_ms < 1 || *remaining_ms > max_deadline_ms)
                return reject("d: expected milliseconds above 0");
            request.upstream_command.list_before_deadline = list.substr(0, pair_start + equals + 1);
            request.upstream_command.list_after_deadline = list.substr(pair_end);
        } else if (name == "units") {
            units = parse_number<double>(value, std::chars_format::fixed);
            if (!units || !(*units > 0 && *units <= max_units_))
                return reject("units: out of range");
        } else if (name == "spread") {
            subset_size = parse_number<std::int64_t>(value);
            if (!subset_size || *subset_size < 1 || *subset_size > instance_count_)
                return reject("spread: out of range");
        } else if (name == "first") {
            subset_start = parse_number<std::int64_t>(value);
            if (!subset_start || *subset_start < 0 || *subset_start >= instance_count_)
                return reject("first: out of range");
        } else if (name == "k") {
            if (!parse_hex_id(value)) return reject("k: expected 16 hex digits");
            has_key = true;
        }
        pair_start = pair_end + 1;
    }
    if (!request_class) return reject("c: missing");
    if (!remaining_ms) return reject("d: missing");
    if (!plan && !plans_.empty()) return reject("t: missing");
    if (request_class->is_idempotent != is_query) return reject("c: of the other command");
    if (request_class->needs_key && !has_key) return reject("k: missing");
    request.client_request.request_class = request_class->index;
    request.upstream_command.has_effect = !request_class->is_idempotent;
    request.upstream_command.is_idempotent =
        request_class->is_idempotent || request_class->needs_key;
    request.client_request.plan = plan.value_or(-1);
    request.client_request.units = units.value_or(1);
    // Clients wait no longer than their class's deadline; a longer time would only retain state
    // in the gateway.
    request.client_request.time_remaining =
        std::min<Micros>(std::chrono::milliseconds(*remaining_ms), request_class->deadline);
    if (subset_size.has_value() != subset_start.has_value())
        return reject("spread and first: only together");
    if (subset_size)
        request.client_request.subset =
            core::AccountSubset{static_cast<int>(*subset_size), static_cast<int>(*subset_start)};
    resp::append_array(request.upstream_command.prefix, arguments.size());
    for (std::size_t i = 0; i < 3; ++i)
        resp::append_bulk(request.upstream_command.prefix, arguments[i]);
    if (!is_query) resp::append_bulk(request.upstream_command.suffix, arguments[4]);
    return request;
}

}  // namespace silverreach::platform

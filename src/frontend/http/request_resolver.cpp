#include "frontend/http/request_resolver.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace silverreach::frontend::http {
namespace {
using openapi::Carrier;
using std::chrono::milliseconds;
constexpr std::int64_t max_deadline_ms = 1'000'000'000;

RequestError bad_request(std::string title, std::string detail) {
    return {400, std::move(title), std::move(detail)};
}
RequestError key_error(std::string title, std::string detail) {
    return {401, std::move(title), std::move(detail), {}, true};
}

// Returns nothing unless all of `text` is a number.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::optional<RequestError> check_path(std::string_view path) {
    switch (openapi::check_path(path)) {
        case openapi::PathFault::none:
            return std::nullopt;
        case openapi::PathFault::dot_segment:
            return bad_request("Bad path",
                               "dot segments are not resolved here; send the path they lead to");
        default:
            return bad_request("Bad path",
                               "a malformed escape, or an escaped slash, backslash or NUL");
    }
}

// Fields that Connection names are not forwarded; the host needs these.
std::optional<RequestError> check_connection_field(const wire::Fields& fields) {
    constexpr std::array<std::string_view, 3> end_to_end{"Idempotency-Key", "Host",
                                                         "Content-Length"};
    for (const std::string_view option : wire::connection_options(fields))
        for (const std::string_view name : end_to_end)
            if (wire::equals_ignore_case(option, name))
                return bad_request("Bad Connection field",
                                   "it names a field that is meant for the host");
    return std::nullopt;
}
}  // namespace

std::string anonymous_account(std::string_view client_address) {
    return "anonymous@" + std::string(client_address);
}

std::optional<RequestError> RequestResolver::resolve(const wire::Head& head,
                                                     const openapi::Description& description,
                                                     ResolvedRequest& resolved) const {
    const auto method = openapi::parse_method(head.method);
    if (!method)
        return RequestError{501, "Unknown method",
                            fmt::format("no description can have {}", head.method)};
    const auto target = split_target(head.target);
    if (!target) return bad_request("Bad target", "expected a path, or an absolute http URL");
    if (auto error = check_path(target->path)) return error;
    const auto found = description.table.find(*method, target->path);
    if (!found.is_path_known)
        return RequestError{404, "Unknown path", "the description has no such path"};
    if (!found.route)
        return RequestError{405, "Method not allowed",
                            "the description has the path with other methods",
                            found.allowed_methods};
    resolved.route = found.route;
    if (auto error = resolve_class(head, resolved)) return error;
    if (auto error = resolve_account(head, target->query, resolved)) return error;
    if (auto error = resolve_units(head, target->query, found, resolved)) return error;
    if (auto error = resolve_deadline(head, resolved)) return error;
    resolved.path = std::string(target->path);
    if (target->has_query) resolved.path.append("?").append(target->query);
    return std::nullopt;
}

std::optional<RequestError> RequestResolver::resolve_class(const wire::Head& head,
                                                           ResolvedRequest& resolved) const {
    if (auto error = check_connection_field(head.fields)) return error;
    const openapi::Route& route = *resolved.route;
    const std::string* key = wire::find(head.fields, "Idempotency-Key");
    if (!key && route.idempotency_key_required)
        return bad_request("Missing Idempotency-Key", "the operation requires it");
    // If the key is optional, a request without one must not be repeated.
    Idempotency idempotency = route.idempotency;
    if (idempotency == Idempotency::idempotency_key && (!key || key->empty()))
        idempotency = Idempotency::non_idempotent;
    resolved.request_class = config::class_index(config_, route.request_class, idempotency);
    if (resolved.request_class < 0) return RequestError{500, "Unknown class", route.request_class};
    return std::nullopt;
}

// Reads the key only from the places that the description names. Different keys in one request
// identify no account.
std::optional<RequestError> RequestResolver::resolve_account(const wire::Head& head,
                                                             std::string_view query,
                                                             ResolvedRequest& resolved) const {
    std::set<std::string> keys;
    for (const Carrier& carrier : resolved.route->key_carriers)
        for (std::string& value : parameter_values(carrier, head, query, nullptr))
            keys.insert(std::move(value));
    if (keys.empty() && resolved.route->allows_anonymous) return std::nullopt;
    if (keys.empty()) return key_error("Key missing", "the operation needs an account's key");
    if (keys.size() > 1)
        return key_error("More than one key", "the request carries different keys");
    auto found = accounts_.find_account(*keys.begin());
    if (!found.account) return key_error("Key not served", found.error);
    resolved.account = std::move(found.account);
    return std::nullopt;
}

std::optional<RequestError> RequestResolver::resolve_units(const wire::Head& head,
                                                           std::string_view query,
                                                           const openapi::RouteTable::Match& found,
                                                           ResolvedRequest& resolved) const {
    resolved.units = resolved.route->units;
    if (!resolved.route->units_from) return std::nullopt;
    const Carrier& carrier = *resolved.route->units_from;
    const auto values = parameter_values(carrier, head, query, &found);
    if (values.empty()) return std::nullopt;
    const auto value = parse_number<double>(values.front());
    const double max_units = openapi::Policy{}.max_units;
    // The range check is negated so that NaN is an error.
    if (values.size() > 1 || !value || !(*value >= 0 && *value <= max_units))
        return bad_request("Bad units",
                           fmt::format("{} {}: expected one number from 0 to {}",
                                       to_string(carrier.location), carrier.name, max_units));
    resolved.units = *value;
    return std::nullopt;
}

std::optional<RequestError> RequestResolver::resolve_deadline(const wire::Head& head,
                                                              ResolvedRequest& resolved) const {
    resolved.deadline =
        milliseconds(config::class_at(config_, resolved.request_class).deadline_ms());
    if (!config_.listen().has_deadline_header()) return std::nullopt;
    const std::string& name = config_.listen().deadline_header();
    const std::string* field = wire::find(head.fields, name);
    if (!field) return std::nullopt;
    const auto deadline_ms = parse_number<std::int64_t>(*field);
    if (!deadline_ms || *deadline_ms < 0)
        return bad_request("Bad deadline", fmt::format("{}: expected whole milliseconds", name));
    const milliseconds requested(std::min(*deadline_ms, max_deadline_ms));
    resolved.deadline = std::min<Micros>(resolved.deadline, requested);
    return std::nullopt;
}

}  // namespace silverreach::frontend::http

#include "frontend/http/resolve.h"

#include <fmt/format.h>

#include <charconv>
#include <set>

namespace silverreach::frontend::http {
namespace {
using openapi::Carrier;
using openapi::Place;

std::string decode(std::string_view text, bool plus) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                text.data() + i + 3) {
            out.push_back(static_cast<char>(value));
            i += 2;
        } else {
            out.push_back(plus && text[i] == '+' ? ' ' : text[i]);
        }
    }
    return out;
}

std::vector<std::string> values_at(const Carrier& carrier, const wire::Head& head,
                                   std::string_view query,
                                   const openapi::RouteTable::Found* found) {
    std::vector<std::string> values;
    switch (carrier.place) {
        case Place::query:
            return query_values(query, carrier.name);
        case Place::cookie:
            return cookie_values(head.fields, carrier.name);
        case Place::path:
            for (const auto& [name, value] :
                 found ? found->parameters : decltype(found->parameters){})
                if (name == carrier.name) values.push_back(value);
            return values;
        case Place::header:
            for (const wire::Field& f : head.fields) {
                if (!wire::same_name(f.name, carrier.name)) continue;
                constexpr std::string_view bearer = "bearer ";
                if (!carrier.bearer)
                    values.push_back(f.value);
                else if (f.value.size() > bearer.size() &&
                         wire::same_name(std::string_view(f.value).substr(0, bearer.size()),
                                         bearer))
                    values.push_back(f.value.substr(bearer.size()));
            }
            return values;
    }
    return values;
}

std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size()) return std::nullopt;
    return value;
}
}  // namespace

std::string anonymous_account(std::string_view client_address) {
    return "anonymous@" + std::string(client_address);
}

std::optional<Target> split_target(std::string_view target) {
    if (const std::size_t scheme = target.find("://");
        scheme != std::string_view::npos && target.front() != '/') {
        const std::string_view name = target.substr(0, scheme);
        if (!wire::same_name(name, "http") && !wire::same_name(name, "https")) return std::nullopt;
        const std::size_t path = target.find_first_of("/?", scheme + 3);
        target = path == std::string_view::npos ? std::string_view("/") : target.substr(path);
    }
    if (target.empty() || target.front() != '/') return std::nullopt;
    if (target.find('#') != std::string_view::npos) return std::nullopt;
    const std::size_t mark = target.find('?');
    Target t{target.substr(0, mark), {}, mark != std::string_view::npos};
    if (t.has_query) t.query = target.substr(mark + 1);
    return t;
}

std::vector<std::string> query_values(std::string_view query, std::string_view name) {
    std::vector<std::string> values;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (decode(pair.substr(0, equals), true) == name)
            values.push_back(decode(pair.substr(std::min(equals + 1, pair.size())), true));
    }
    return values;
}

std::vector<std::string> cookie_values(const wire::Fields& fields, std::string_view name) {
    std::vector<std::string> values;
    for (const wire::Field& f : fields) {
        if (!wire::same_name(f.name, "Cookie")) continue;
        std::string_view rest = f.value;
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find(';'), rest.size());
            std::string_view pair = rest.substr(0, end);
            rest.remove_prefix(std::min(end + 1, rest.size()));
            while (!pair.empty() && pair.front() == ' ')
                pair.remove_prefix(1);
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                values.emplace_back(pair.substr(equals + 1));
        }
    }
    return values;
}

std::optional<Refusal> Resolver::resolve(const wire::Head& head,
                                         const openapi::Description& description,
                                         Resolved& into) const {
    const auto method = openapi::method_of(head.method);
    if (!method)
        return Refusal{501,
                       "Unknown method",
                       fmt::format("no description can have {}", head.method),
                       {},
                       false};
    const auto target = split_target(head.target);
    if (!target)
        return Refusal{400, "Bad target", "expected a path, or an absolute http URL", {}, false};
    switch (openapi::check_path(target->path)) {
        case openapi::PathFault::none:
            break;
        case openapi::PathFault::dot_segment:
            return Refusal{400,
                           "Bad path",
                           "dot segments are not resolved here; send the path they lead to",
                           {},
                           false};
        default:
            return Refusal{400,
                           "Bad path",
                           "a malformed escape, or an escaped slash, backslash or NUL",
                           {},
                           false};
    }
    const auto found = description.table.find(*method, target->path);
    if (!found.path_known)
        return Refusal{404, "Unknown path", "the description has no such path", {}, false};
    if (!found.route)
        return Refusal{405, "Method not allowed", "the description has the path with other methods",
                       found.allowed, false};
    into.route = found.route;
    // The effect rests on the key: where one may be absent, a request without it must not be
    // repeated.
    Idempotency effect = found.route->effect;
    const std::string* key = wire::find(head.fields, "Idempotency-Key");
    const auto connection = wire::connection_words(head.fields);
    for (const std::string_view word : connection)
        if (wire::same_name(word, "Idempotency-Key") || wire::same_name(word, "Host") ||
            wire::same_name(word, "Content-Length"))
            return Refusal{400,
                           "Bad Connection field",
                           "it names a field that is meant for the host",
                           {},
                           false};
    if (!key && found.route->key_required)
        return Refusal{400, "Missing Idempotency-Key", "the operation requires it", {}, false};
    if (effect == Idempotency::idempotency_key && (!key || key->empty()))
        effect = Idempotency::non_idempotent;
    into.request_class = config::class_index(config_, found.route->request_class, effect);
    if (into.request_class < 0)
        return Refusal{500, "Unknown class", found.route->request_class, {}, false};
    if (auto refusal = find_account(head, target->query, into)) return refusal;
    if (auto refusal = find_units(head, target->query, found, into)) return refusal;
    into.deadline =
        std::chrono::milliseconds(config::class_at(config_, into.request_class).deadline_ms());
    if (config_.listen().has_deadline_header())
        if (const std::string* field =
                wire::find(head.fields, config_.listen().deadline_header())) {
            std::int64_t ms = 0;
            const auto read = std::from_chars(field->data(), field->data() + field->size(), ms);
            if (read.ec != std::errc() || read.ptr != field->data() + field->size() || ms < 0)
                return Refusal{400,
                               "Bad deadline",
                               fmt::format("{}: expected whole milliseconds",
                                           config_.listen().deadline_header()),
                               {},
                               false};
            into.deadline = std::min<Micros>(
                into.deadline,
                std::chrono::milliseconds(std::min<std::int64_t>(ms, 1'000'000'000)));
        }
    into.path = std::string(target->path);
    if (target->has_query) into.path.append("?").append(target->query);
    return std::nullopt;
}

// The key is taken only from where the description has it. Two different ones name no account.
std::optional<Refusal> Resolver::find_account(const wire::Head& head, std::string_view query,
                                              Resolved& into) const {
    std::set<std::string> keys;
    for (const Carrier& carrier : into.route->keys)
        for (std::string& value : values_at(carrier, head, query, nullptr))
            keys.insert(std::move(value));
    if (keys.empty() && into.route->anonymous) return std::nullopt;
    if (keys.empty())
        return Refusal{401, "Key missing", "the operation needs an account's key", {}, true};
    if (keys.size() > 1)
        return Refusal{401, "More than one key", "the request carries different keys", {}, true};
    auto found = accounts_.by_key(*keys.begin());
    if (!found.account) return Refusal{401, "Key not served", found.why, {}, true};
    into.account = std::move(found.account);
    return std::nullopt;
}

std::optional<Refusal> Resolver::find_units(const wire::Head& head, std::string_view query,
                                            const openapi::RouteTable::Found& found,
                                            Resolved& into) const {
    into.units = into.route->units;
    if (!into.route->units_from) return std::nullopt;
    const Carrier& carrier = *into.route->units_from;
    const auto values = values_at(carrier, head, query, &found);
    if (values.empty()) return std::nullopt;
    const auto value = number(values.front());
    const double most = openapi::Policy{}.most_units;
    if (values.size() > 1 || !value || !(*value >= 0 && *value <= most))
        return Refusal{400,
                       "Bad units",
                       fmt::format("{} {}: expected one number from 0 to {}",
                                   to_string(carrier.place), carrier.name, most),
                       {},
                       false};
    into.units = *value;
    return std::nullopt;
}

}  // namespace silverreach::frontend::http

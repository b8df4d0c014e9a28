#include "frontend/http/request_parameters.h"

#include <algorithm>
#include <charconv>

namespace silverreach::frontend::http {
namespace {
using openapi::Carrier;
using openapi::ParameterLocation;

// Decodes the percent escapes of a query, and '+' as a space. Keeps malformed escapes unchanged.
std::string decode_query(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                text.data() + i + 3) {
            out.push_back(static_cast<char>(value));
            i += 2;
        } else {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return out;
}

// Removes the text up to the next separator, or to the end, from `rest` and returns it.
std::string_view next_element(std::string_view& rest, char separator) {
    const std::size_t end = std::min(rest.find(separator), rest.size());
    const std::string_view element = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return element;
}

std::vector<std::string> header_values(const Carrier& carrier, const wire::Fields& fields) {
    constexpr std::string_view bearer = "bearer ";
    std::vector<std::string> values;
    for (const wire::Field& field : fields) {
        if (!wire::equals_ignore_case(field.name, carrier.name)) continue;
        if (!carrier.bearer) {
            values.push_back(field.value);
            continue;
        }
        const bool is_bearer = field.value.size() > bearer.size() &&
                               wire::equals_ignore_case(
                                   std::string_view(field.value).substr(0, bearer.size()), bearer);
        if (is_bearer) values.push_back(field.value.substr(bearer.size()));
    }
    return values;
}

std::vector<std::string> path_values(std::string_view name,
                                     const openapi::RouteTable::Match* path_parameters) {
    std::vector<std::string> values;
    if (!path_parameters) return values;
    for (const auto& [parameter, value] : path_parameters->parameters)
        if (parameter == name) values.push_back(value);
    return values;
}
}  // namespace

std::optional<Target> split_target(std::string_view target) {
    if (const std::size_t scheme_end = target.find("://");
        scheme_end != std::string_view::npos && target.front() != '/') {
        const std::string_view scheme = target.substr(0, scheme_end);
        if (!wire::equals_ignore_case(scheme, "http") && !wire::equals_ignore_case(scheme, "https"))
            return std::nullopt;
        const std::size_t path = target.find_first_of("/?", scheme_end + 3);
        target = path == std::string_view::npos ? std::string_view("/") : target.substr(path);
    }
    if (target.empty() || target.front() != '/') return std::nullopt;
    if (target.find('#') != std::string_view::npos) return std::nullopt;
    const std::size_t query_start = target.find('?');
    Target parts{target.substr(0, query_start), {}, query_start != std::string_view::npos};
    if (parts.has_query) parts.query = target.substr(query_start + 1);
    return parts;
}

std::vector<std::string> query_values(std::string_view query, std::string_view name) {
    std::vector<std::string> values;
    while (!query.empty()) {
        const std::string_view pair = next_element(query, '&');
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (decode_query(pair.substr(0, equals)) != name) continue;
        const std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
        values.push_back(decode_query(value));
    }
    return values;
}

std::vector<std::string> cookie_values(const wire::Fields& fields, std::string_view name) {
    std::vector<std::string> values;
    for (const wire::Field& field : fields) {
        if (!wire::equals_ignore_case(field.name, "Cookie")) continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            std::string_view pair = next_element(rest, ';');
            while (!pair.empty() && pair.front() == ' ')
                pair.remove_prefix(1);
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                values.emplace_back(pair.substr(equals + 1));
        }
    }
    return values;
}

std::vector<std::string> parameter_values(const Carrier& carrier, const wire::Head& head,
                                          std::string_view query,
                                          const openapi::RouteTable::Match* path_parameters) {
    switch (carrier.location) {
        case ParameterLocation::query:
            return query_values(query, carrier.name);
        case ParameterLocation::cookie:
            return cookie_values(head.fields, carrier.name);
        case ParameterLocation::path:
            return path_values(carrier.name, path_parameters);
        case ParameterLocation::header:
            return header_values(carrier, head.fields);
    }
    return {};
}

}  // namespace silverreach::frontend::http

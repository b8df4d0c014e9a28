// Reads parameters from a request: its target, query, header fields and cookies. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.h"
#include "openapi/description.h"

namespace silverreach::frontend::http {

namespace wire = silverreach::http;

// The parts of a request target, as views into its text.
struct Target {
    std::string_view path;
    std::string_view query;  // without its '?'
    bool has_query = false;
};
// Splits a target in origin or absolute form. Returns nothing if it has neither form or has a
// fragment.
std::optional<Target> split_target(std::string_view target);
// Returns every value of the named query parameter, decoded.
std::vector<std::string> query_values(std::string_view query, std::string_view name);
// Returns every value of the named cookie, as sent.
std::vector<std::string> cookie_values(const wire::Fields& fields, std::string_view name);
// Returns every value of the parameter that `carrier` describes. `path_parameters`: those of the
// matched route; nullptr: none.
std::vector<std::string> parameter_values(const openapi::Carrier& carrier, const wire::Head& head,
                                          std::string_view query,
                                          const openapi::RouteTable::Match* path_parameters);

}  // namespace silverreach::frontend::http

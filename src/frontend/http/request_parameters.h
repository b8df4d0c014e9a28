// The parts of a request from which parameters are read: target, query, cookies. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.h"
#include "openapi/description.h"

namespace silverreach::frontend::http {

namespace wire = silverreach::http;

// Views into the target's text.
struct Target {
    std::string_view path;
    std::string_view query;  // without its '?'
    bool has_query = false;
};
// Splits a target in origin or absolute form; nothing where it is neither, or has a fragment.
std::optional<Target> split_target(std::string_view target);
// Every value of the named query parameter, decoded.
std::vector<std::string> query_values(std::string_view query, std::string_view name);
// Every value of the named cookie, as sent.
std::vector<std::string> cookie_values(const wire::Fields& fields, std::string_view name);
// Every value of the parameter that `carrier` describes. `path_parameters`: those of the route that
// was found; nullptr: none.
std::vector<std::string> parameter_values(const openapi::Carrier& carrier, const wire::Head& head,
                                          std::string_view query,
                                          const openapi::RouteTable::Match* path_parameters);

}  // namespace silverreach::frontend::http

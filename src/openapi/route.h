// The routes of an API and their lookup by method and path. No I/O.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::openapi {

// The methods that an OpenAPI path item can describe.
enum class Method {
    get,
    put,
    post,
    del,
    options,
    head,
    patch,
    trace
};
inline constexpr std::array<std::string_view, 8> method_names = {
    "GET", "PUT", "POST", "DELETE", "OPTIONS", "HEAD", "PATCH", "TRACE"};
std::optional<Method> parse_method(std::string_view name);  // case-sensitive, as in HTTP

enum class ParameterLocation {
    header,
    query,
    cookie,
    path
};
std::string_view to_string(ParameterLocation location);

// The request parameter that carries an account's key or a request's units.
struct Carrier {
    ParameterLocation location = ParameterLocation::header;
    std::string name;
    bool bearer = false;  // the Bearer token of the Authorization header
    bool operator==(const Carrier&) const = default;
};

struct Route {
    Method method = Method::get;
    std::string path;  // path template, including the server's base path
    std::string operation_id;
    std::string request_class;
    double units = 1;
    std::optional<Carrier> units_from;  // overrides `units` where the request has this parameter
    Idempotency idempotency = Idempotency::idempotent;
    bool idempotency_key_required = false;  // the request must have an Idempotency-Key header
    std::vector<Carrier> key_carriers;      // parameters that may carry the account's key
    bool allows_anonymous = true;           // a request without a key is accepted
    // For display: where each value comes from.
    std::string class_origin, units_origin, idempotency_origin;
    int line = 0;  // of the operation in the description
};

// A tree of path templates by segment. Literal segments match before templates, as the
// specification requires. A lookup tries the literal and the templates of each segment in
// turn; its cost depends on the path and the templates that match it, not on the number of routes.
class RouteTable {
  public:
    RouteTable();
    ~RouteTable();
    // Adds a route. Where a route with the same method and an equivalent template (equal except for
    // parameter names) exists, returns that route and adds nothing; otherwise returns nullptr.
    const Route* add(Route route);
    const std::vector<std::unique_ptr<Route>>& routes() const { return routes_; }

    struct Match {
        const Route* route = nullptr;
        bool is_path_known = false;  // a route exists for the path, with any method
        std::vector<Method> allowed_methods;
        std::vector<std::pair<std::string, std::string>> parameters;
    };
    // `path` is absolute, without a query and not normalized; the caller rejects dot segments
    // before, with check_path(). A GET route also serves HEAD.
    Match find(Method method, std::string_view path) const;

  private:
    struct Node;
    const Node* find_node(const Node& node, std::string_view path,
                          std::vector<std::string>& values) const;
    std::unique_ptr<Node> root_;
    std::vector<std::unique_ptr<Route>> routes_;
};

// Percent-decodes a path segment. Returns nothing for a malformed escape, or for an escaped '/',
// '\' or NUL.
std::optional<std::string> decode_segment(std::string_view segment);
enum class PathFault {
    none,
    not_absolute,
    bad_escape,
    dot_segment
};
// Reports paths that programs interpret differently. Such paths are rejected, not normalized.
PathFault check_path(std::string_view path);

}  // namespace silverreach::openapi

// The routes of an API as the gateway understands them, and their look-up. No I/O.
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

// The methods an OpenAPI path item can describe.
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
std::optional<Method> parse_method(std::string_view name);  // as HTTP writes it, case counts

enum class ParameterLocation {
    header,
    query,
    cookie,
    path
};
std::string_view to_string(ParameterLocation location);

// Where a request carries something: an account's key, or its units.
struct Carrier {
    ParameterLocation location = ParameterLocation::header;
    std::string name;
    bool bearer = false;  // the Authorization header's Bearer token
    bool operator==(const Carrier&) const = default;
};

struct Route {
    Method method = Method::get;
    std::string path;  // with the server's base path
    std::string operation_id;
    std::string request_class;
    double units = 1;
    std::optional<Carrier> units_from;  // overrides `units` where the request has it
    Idempotency idempotency = Idempotency::idempotent;
    bool idempotency_key_required = false;  // the request must carry Idempotency-Key
    std::vector<Carrier> key_carriers;      // where the account's key may be, first match wins
    bool allows_anonymous = true;           // a request without a key is taken
    std::string class_origin, units_origin, idempotency_origin;  // for people: where each came from
    int line = 0;                                                // of the operation
};

// Path templates in a tree by segment: literals before templates, as the specification orders; a
// look-up's cost grows with the path's length only.
class RouteTable {
  public:
    RouteTable();
    ~RouteTable();
    // Returns the route that has the same method and the same template but for names; nullptr where
    // it was added.
    const Route* add(Route route);
    const std::vector<std::unique_ptr<Route>>& routes() const { return routes_; }

    struct Match {
        const Route* route = nullptr;
        bool is_path_known = false;  // some method is known for the path
        std::vector<Method> allowed_methods;
        std::vector<std::pair<std::string, std::string>> parameters;
    };
    // `path`: absolute, without query, not normalized: dot segments are the caller's to refuse. A
    // GET route also takes HEAD.
    Match find(Method method, std::string_view path) const;

  private:
    struct Node;
    const Node* find_node(const Node& node, std::string_view path,
                          std::vector<std::string>& values) const;
    std::unique_ptr<Node> root_;
    std::vector<std::unique_ptr<Route>> routes_;
};

// Percent-decodes; nothing for a malformed escape, or one that stands for '/', '\' or NUL.
std::optional<std::string> decode_segment(std::string_view segment);
enum class PathFault {
    none,
    not_absolute,
    bad_escape,
    dot_segment
};
// Paths that different programs read differently are refused, never mended.
PathFault check_path(std::string_view path);

}  // namespace silverreach::openapi

// What a request's head asks for under a description: route, account, units, time; or why not. No
// I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "http/parser.h"
#include "openapi/description.h"

namespace silverreach::frontend::http {

namespace wire = silverreach::http;

// An answer that the front gives by itself.
struct Refusal {
    int status = 400;
    std::string title, detail;
    std::vector<openapi::Method> allowed;  // of a 405
    bool challenge = false;                // of a 401
};

struct Resolved {
    const openapi::Route* route = nullptr;
    std::optional<config::AccountRef> account;  // none: the anonymous one
    int request_class = -1;
    double units = 1;
    Micros deadline{0};  // the class's, shortened by the request
    std::string path;    // as it goes to hosts, with the query
};

// The account of requests that carry no key, where the description allows that: by the client's
// address, so that strangers do not share one total.
std::string anonymous_account(std::string_view client_address);

class Resolver {
  public:
    Resolver(const config::Config& config, config::AccountBook& accounts)
        : config_(config), accounts_(accounts) {}
    // `description` must outlive what is resolved.
    std::optional<Refusal> resolve(const wire::Head& head, const openapi::Description& description,
                                   Resolved& into) const;

  private:
    std::optional<Refusal> find_account(const wire::Head& head, std::string_view query,
                                        Resolved& into) const;
    std::optional<Refusal> find_units(const wire::Head& head, std::string_view query,
                                      const openapi::RouteTable::Found& found,
                                      Resolved& into) const;
    const config::Config& config_;
    config::AccountBook& accounts_;
};

// Of a target in origin or absolute form; nothing where it is neither.
struct Target {
    std::string_view path, query;  // the query without its '?'
    bool has_query = false;
};
std::optional<Target> split_target(std::string_view target);
// Every value of the named query parameter, decoded.
std::vector<std::string> query_values(std::string_view query, std::string_view name);
std::vector<std::string> cookie_values(const wire::Fields& fields, std::string_view name);

}  // namespace silverreach::frontend::http

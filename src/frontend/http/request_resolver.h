// Resolves a request's head against an API description: route, account, units and deadline. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "frontend/http/request_parameters.h"
#include "http/parser.h"
#include "openapi/description.h"

namespace silverreach::frontend::http {

// An error with which the gateway answers a request itself, as sent to the client.
struct RequestError {
    int status = 400;
    std::string title;
    std::string detail;
    std::vector<openapi::Method> allowed_methods = {};  // of a 405
    bool needs_key = false;                             // of a 401: WWW-Authenticate is added
};

struct ResolvedRequest {
    const openapi::Route* route = nullptr;
    std::optional<config::AccountRef> account;  // none: anonymous
    int request_class = -1;                     // index into Settings::classes
    double units = 1;
    Micros deadline{0};  // from the request's start; of the class, or a shorter one of the request
    std::string path;    // as sent to hosts, with the query
};

// Returns the account of requests without a key, where the description allows these. The account
// depends on the client's address, so that unrelated clients do not share one quota.
std::string anonymous_account(std::string_view client_address);

// Configuration and accounts must outlive the resolver.
class RequestResolver {
  public:
    RequestResolver(const config::Config& config, config::KeyIndex& accounts)
        : config_(config), accounts_(accounts) {}
    // Fills `resolved`, or returns the request's error; `resolved` then contains what was
    // resolved before the error. `description` must outlive `resolved`.
    std::optional<RequestError> resolve(const wire::Head& head,
                                        const openapi::Description& description,
                                        ResolvedRequest& resolved) const;

  private:
    std::optional<RequestError> resolve_class(const wire::Head& head,
                                              ResolvedRequest& resolved) const;
    std::optional<RequestError> resolve_account(const wire::Head& head, std::string_view query,
                                                ResolvedRequest& resolved) const;
    std::optional<RequestError> resolve_units(const wire::Head& head, std::string_view query,
                                              const openapi::RouteTable::Match& found,
                                              ResolvedRequest& resolved) const;
    std::optional<RequestError> resolve_deadline(const wire::Head& head,
                                                 ResolvedRequest& resolved) const;

    const config::Config& config_;
    config::KeyIndex& accounts_;
};

}  // namespace silverreach::frontend::http

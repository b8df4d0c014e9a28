// The state that the connections of one HTTP front end share.
#pragma once

#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "core/request_coordinator.h"
#include "event/buffer_budget.h"
#include "event/system_random.h"
#include "frontend/http/request_resolver.h"
#include "openapi/description.h"

namespace silverreach::frontend::http {

// The entry of one request in the access log.
struct AccessLogEntry {
    std::string request_id;
    std::string method;
    std::string path;  // without the query, which may contain a key
    std::string account;
    std::string key_id;
    std::string request_class;
    std::string reason;  // "served", "left", "broken", "cut", or why the request was not forwarded
    std::string client;  // address
    double units = 0;
    int status = 0;  // 0: none was sent
    Micros duration{0};
};

struct FrontendCallbacks {
    // Returns the current API description.
    std::function<std::shared_ptr<const openapi::Description>()> description;
    std::function<void(const AccessLogEntry&)> log_access;
    // Whether this instance is one of those that serve the account.
    std::function<bool(const config::AccountRef&)> serves_account;
};

class HttpConnection;

// The text of the Date field, formatted once a second.
class DateCache {
  public:
    const std::string& current_text();

  private:
    std::string text_;
    std::time_t second_ = 0;
};

// Owned by the Frontend; outlives the connections.
struct FrontendContext {
    const config::Config& config;
    core::RequestCoordinator& core;
    FrontendCallbacks callbacks;
    int anonymous_plan;  // index into Settings::plans; negative: none
    std::string via;     // this instance's name in the Via field
    RequestResolver resolver;
    // For requests in hand and unread responses of all connections.
    event::BufferBudget buffer_budget;
    event::SystemRandom random = {};  // for request and trace ids
    DateCache date_cache = {};
    std::unordered_map<RequestId, HttpConnection*> in_flight = {};
    std::uint64_t closed_with_unsent_bytes = 0;  // connections, at a timeout or the buffer limit
    std::uint64_t buffer_limit_reached = 0;      // connections that were ended because of the limit
};

}  // namespace silverreach::frontend::http

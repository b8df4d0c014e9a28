// What the HTTP upstream reports of attempts and health checks.
#pragma once

#include <string>
#include <string_view>

#include "core/attempt_key.h"
#include "http/parser.h"

namespace silverreach::upstream_http {

// Each attempt that is sent ends in exactly one of: on_response_started followed by
// on_response_ended, on_attempt_ended, or the caller's cancel or withdraw. Called on the loop's
// thread; all may send and cancel attempts.
class AttemptCallbacks {
  public:
    virtual ~AttemptCallbacks() = default;
    // Just before the attempt's request is written: whether it may still begin. If not, it ends as
    // `not_started`.
    virtual bool begin_send(const core::AttemptKey& key) = 0;
    // A successful response's head has come, `elapsed` after the attempt was sent. Returns whether
    // its body is to be delivered; otherwise it is read and discarded.
    virtual bool on_response_started(const core::AttemptKey& key, const std::string& host,
                                     Micros elapsed, const LoadReport& report,
                                     http::Head& head) = 0;
    virtual void on_response_body(const core::AttemptKey& key, std::string_view bytes) = 0;
    // `complete` is false where the connection ended in the middle of the body.
    virtual void on_response_ended(const core::AttemptKey& key, bool complete,
                                   const http::Fields& trailers) = 0;
    // The attempt got no successful response; `status` is 0 where it got none at all.
    virtual void on_attempt_ended(const core::AttemptKey& key, const std::string& host,
                                  Outcome outcome, Micros elapsed, const LoadReport& report,
                                  int status) = 0;
    virtual void on_health_check_ended(HealthCheckEnded ended) = 0;
};

}  // namespace silverreach::upstream_http

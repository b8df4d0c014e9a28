// The callbacks through which the HTTP upstream reports attempts and health checks.
#pragma once

#include <string>
#include <string_view>

#include "core/attempt_key.h"
#include "http/parser.h"

namespace silverreach::upstream_http {

// Each attempt that is sent ends in exactly one of these ways: on_response_started followed by
// on_response_ended, on_attempt_ended, or the caller's cancel or withdraw. If on_response_started
// returns false, no on_response_ended follows. Called on the loop's thread; every callback may send
// and cancel attempts.
class AttemptCallbacks {
  public:
    virtual ~AttemptCallbacks() = default;
    // Called just before the attempt's request is written. Returns whether the attempt may still
    // begin; if not, it ends as `not_started`.
    virtual bool begin_send(const core::AttemptKey& key) = 0;
    // Called when the head of a successful response has been read, `elapsed` after send(). Returns
    // whether the body is to be delivered; otherwise it is read and discarded.
    virtual bool on_response_started(const core::AttemptKey& key, const std::string& host,
                                     Micros elapsed, const LoadReport& report,
                                     http::Head& head) = 0;
    virtual void on_response_body(const core::AttemptKey& key, std::string_view bytes) = 0;
    // `complete` is false if the connection ended, or the response became malformed, within the
    // body.
    virtual void on_response_ended(const core::AttemptKey& key, bool complete,
                                   const http::Fields& trailers) = 0;
    // The attempt ended without a successful response. `status` is 0 if it received no response.
    virtual void on_attempt_ended(const core::AttemptKey& key, const std::string& host,
                                  Outcome outcome, Micros elapsed, const LoadReport& report,
                                  int status) = 0;
    virtual void on_health_check_ended(HealthCheckEnded ended) = 0;
};

}  // namespace silverreach::upstream_http

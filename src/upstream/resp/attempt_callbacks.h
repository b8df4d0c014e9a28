// The callbacks through which the RESP upstream reports attempts and health checks.
#pragma once

#include <optional>
#include <string>

#include "core/attempt_key.h"
#include "upstream/resp/host_response.h"

namespace silverreach::upstream_resp {

// Each attempt that is sent ends in on_attempt_ended or in the caller's cancel or withdraw. Called
// on the loop's thread; every callback may send and cancel attempts.
class AttemptCallbacks {
  public:
    virtual ~AttemptCallbacks() = default;
    // Called just before the attempt's command is written. Returns the time that the host may take,
    // or nullopt if the attempt must not begin any more; it then ends as `not_started`.
    virtual std::optional<Micros> begin_send(const core::AttemptKey& key) = 0;
    // `elapsed` is the time since send().
    virtual void on_attempt_ended(const core::AttemptKey& key, const std::string& host,
                                  Micros elapsed, HostResponse response) = 0;
    virtual void on_health_check_ended(HealthCheckEnded ended) = 0;
};

}  // namespace silverreach::upstream_resp

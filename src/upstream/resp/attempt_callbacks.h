// What the RESP upstream reports of attempts and health checks.
#pragma once

#include <optional>
#include <string>

#include "core/attempt_key.h"
#include "upstream/resp/host_response.h"

namespace silverreach::upstream_resp {

// Each attempt that is sent ends in on_attempt_ended or in the caller's cancel or withdraw. Called
// on the loop's thread; all may send and cancel attempts.
class AttemptCallbacks {
  public:
    virtual ~AttemptCallbacks() = default;
    // Just before the attempt's command is written: the time that its host may take, or nothing
    // where it must not begin any more; it then ends as `not_started`.
    virtual std::optional<Micros> begin_send(const core::AttemptKey& key) = 0;
    // `elapsed` since the attempt was sent.
    virtual void on_attempt_ended(const core::AttemptKey& key, const std::string& host,
                                  Micros elapsed, HostResponse response) = 0;
    virtual void on_health_check_ended(HealthCheckEnded ended) = 0;
};

}  // namespace silverreach::upstream_resp

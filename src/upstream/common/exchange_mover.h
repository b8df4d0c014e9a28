// Sends an exchange again whose connection was lost before its request was written. Used on the
// loop's thread.
#pragma once

#include <memory>
#include <string>

#include "core/attempt_key.h"

namespace silverreach::upstream {

// `Request` is the protocol's request of an attempt.
template <class Request>
class ExchangeMover {
  public:
    virtual ~ExchangeMover() = default;
    // The exchange may end within the call. `request` is null for a RESP health check.
    virtual void move_exchange(const core::AttemptKey& key, const std::string& host,
                               std::shared_ptr<const Request> request) = 0;
};

}  // namespace silverreach::upstream

// The callbacks through which the engine receives the results of requests that wait for a lease.
#pragma once

#include <optional>

#include "silverreach/interface.h"

namespace silverreach {

// Implemented by the decision engine. The functions are called while an event is handled, and may
// call the QuotaManager before they return.
class QuotaListener {
  public:
    virtual ~QuotaListener() = default;
    // Returns the cost of the waiting request in units, or nullopt if it has its final response.
    virtual std::optional<double> waiting_units(RequestId id) const = 0;
    // The quota covers the request now.
    virtual void on_quota_granted(RequestId id) = 0;
    // The quota does not cover the request; it is expected to do so after `retry_after`.
    virtual void on_quota_denied(RequestId id, Micros retry_after) = 0;
};

}  // namespace silverreach

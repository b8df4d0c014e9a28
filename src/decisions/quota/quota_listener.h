// Notifies the engine of what became of the requests that waited for a lease.
#pragma once

#include <optional>

#include "silverreach/interface.h"

namespace silverreach {

// Implemented by the engine's coordinator. Calls come while an event is handled and may call back
// into the QuotaManager at once.
class QuotaListener {
  public:
    virtual ~QuotaListener() = default;
    // Units that the waiting request costs; nothing once it has its final response.
    virtual std::optional<double> waiting_units(RequestId id) const = 0;
    // The quota covers the request now.
    virtual void on_quota_granted(RequestId id) = 0;
    // The quota does not cover it; `retry_after` is when it is expected to.
    virtual void on_quota_denied(RequestId id, Micros retry_after) = 0;
};

}  // namespace silverreach

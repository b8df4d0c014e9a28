// A client's request as a front end passes it to the core, and the responses that the core itself
// gives.
#pragma once

#include <optional>
#include <string>

#include "core/account_subset.h"
#include "silverreach/interface.h"

namespace silverreach::core {

struct ClientRequest {
    std::string account;
    int plan = -1;                             // index into Settings::plans; negative: none
    int request_class = 0;                     // index into Settings::classes
    double units = 1;                          // estimate of what the quota is charged
    Micros time_remaining{0};                  // until the client gives up
    std::optional<AccountSubset> subset = {};  // absent: from the account's name
};

enum class FailureReason {
    bad_response,  // endpoints failed the request
    timed_out      // no response within the client's time
};

// A response that does not come from an endpoint.
struct FinalResponse {
    bool rejected = false;  // true: safe to retry; false: failed, the request may have run
    RejectReason reject_reason = RejectReason::quota_exhausted;  // where rejected
    FailureReason failure_reason = FailureReason::bad_response;  // where failed
    Micros retry_after{0};                                       // 0: none
};

}  // namespace silverreach::core

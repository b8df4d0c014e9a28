// A client's request as a front end passes it to the core, and the final responses that the core
// generates itself.
#pragma once

#include <optional>
#include <string>

#include "core/account_subset.h"
#include "silverreach/interface.h"

namespace silverreach::core {

struct ClientRequest {
    std::string account;
    int plan = -1;             // index into Settings::plans; negative: unknown, no quota
    int request_class = 0;     // index into Settings::classes
    double units = 1;          // estimate, charged to the account's quota
    Micros time_remaining{0};  // until the client gives up
    std::optional<AccountSubset> subset = {};  // absent: computed from the account's name
};

enum class FailureReason {
    bad_response,  // the attempts ended without a successful response
    timed_out      // no response in time; attempts timed out, were cancelled or are in flight
};

// A final response that the gateway generates itself.
struct FinalResponse {
    bool rejected = false;  // true: safe to retry; false: failed, the request may have run
    RejectReason reject_reason = RejectReason::quota_exhausted;  // if rejected
    FailureReason failure_reason = FailureReason::bad_response;  // if not rejected
    Micros retry_after{0};  // delay after which the client may retry; 0: none
};

}  // namespace silverreach::core

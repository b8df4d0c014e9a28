// What a host's complete RESP reply to a request says. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "resp/reply.h"
#include "silverreach/interface.h"

namespace silverreach::upstream_resp {

struct HostResponse {
    Outcome outcome = Outcome::error;
    std::string value;        // of a successful one
    double actual_units = 0;  // units the request has cost; 0 where not reported
    LoadReport report;
};

// An array of value, properties and load report is a success, the error BUSY a rejection, and
// everything else an error.
HostResponse parse_response(resp::Reply reply);

// "inflight=7,queue=2,util=0.61"; figures that cannot be read leave the report's fields unset.
LoadReport parse_load_report(std::string_view text);

}  // namespace silverreach::upstream_resp

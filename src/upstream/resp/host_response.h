// Interprets a host's complete RESP reply to a request. Does no I/O.
#pragma once

#include <string>
#include <string_view>

#include "resp/reply.h"
#include "silverreach/interface.h"

namespace silverreach::upstream_resp {

struct HostResponse {
    Outcome outcome = Outcome::error;
    std::string value;        // of a successful response
    double actual_units = 0;  // unit cost of the request as the host reports it; 0: not reported
    LoadReport report;
};

// Returns `success` for an array of value, properties and load report, `rejected` for the error
// BUSY, and `error` for any other reply.
HostResponse parse_response(resp::Reply reply);

// Parses text such as "inflight=7,queue=2,util=0.61". Values that cannot be parsed leave the
// members of the report unset.
LoadReport parse_load_report(std::string_view text);

}  // namespace silverreach::upstream_resp

// The health check of a RESP host: its command and the evaluation of the reply.
#pragma once

#include <string>

#include "resp/reply.h"
#include "upstream/resp/host_response.h"

namespace silverreach::upstream_resp {

// Returns the command INFO load, whose reply is the load report, or PING.
std::string health_check_command(bool request_load_report);

// Returns `success` for a status line, a bulk string or a null, otherwise `error`. A bulk string is
// parsed as the load report.
HostResponse parse_health_check_reply(const resp::Reply& reply);

}  // namespace silverreach::upstream_resp

// Maps a host's response to the outcome of its attempt.
#pragma once

#include "config/config.h"
#include "http/parser.h"
#include "silverreach/interface.h"

namespace silverreach::upstream_http {

// Returns `rejected` if the configured rules say that the host had no capacity, `error` for other
// statuses of 500 and above, otherwise `success`.
Outcome outcome_of(const http::Head& head, const config::HostAnswers& rules);

}  // namespace silverreach::upstream_http

// Decides how a host's response counts for its attempt.
#pragma once

#include "config/config.h"
#include "http/parser.h"
#include "silverreach/interface.h"

namespace silverreach::upstream_http {

// `rejected` where the configuration's rules say that the host had no capacity, `error` for a
// status from 500 on, else `success`.
Outcome outcome_of(const http::Head& head, const config::HostAnswers& rules);

}  // namespace silverreach::upstream_http

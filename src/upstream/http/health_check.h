// The health check of an HTTP host: its request and how the response counts.
#pragma once

#include <memory>
#include <string>

#include "config/config.h"
#include "http/parser.h"
#include "upstream/http/out_request.h"

namespace silverreach::upstream_http {

// `path` is the configuration's, `host` the host's address as listed.
std::shared_ptr<const OutRequest> health_check_request(const std::string& path,
                                                       const std::string& host);

// `success` for a status below 400 that is not a rejection by `rules`, else `error`.
Outcome health_check_outcome(const http::Head& head, const config::HostAnswers& rules);

}  // namespace silverreach::upstream_http

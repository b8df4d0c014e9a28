// The health check of an HTTP host: its request and the evaluation of the response.
#pragma once

#include <memory>
#include <string>

#include "config/config.h"
#include "http/parser.h"
#include "upstream/http/upstream_request.h"

namespace silverreach::upstream_http {

// `path` is the configured path, `host` the host's address as in the endpoint list.
std::shared_ptr<const UpstreamRequest> health_check_request(const std::string& path,
                                                            const std::string& host);

// Returns `success` for a status below 400 that is not a rejection according to `rules`, otherwise
// `error`.
Outcome health_check_outcome(const http::Head& head, const config::HostAnswers& rules);

}  // namespace silverreach::upstream_http

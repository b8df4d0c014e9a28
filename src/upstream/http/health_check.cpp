#include "upstream/http/health_check.h"

#include "upstream/http/response_outcome.h"

namespace silverreach::upstream_http {
namespace {
constexpr int min_unhealthy_status = 400;
}  // namespace

std::shared_ptr<const UpstreamRequest> health_check_request(const std::string& path,
                                                            const std::string& host) {
    auto request = std::make_shared<UpstreamRequest>();
    request->head = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    return request;
}

Outcome health_check_outcome(const http::Head& head, const config::HostAnswers& rules) {
    const bool healthy =
        outcome_of(head, rules) == Outcome::success && head.status < min_unhealthy_status;
    return healthy ? Outcome::success : Outcome::error;
}

}  // namespace silverreach::upstream_http

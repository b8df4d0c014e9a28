#include "upstream/http/response_outcome.h"

namespace silverreach::upstream_http {

Outcome outcome_of(const http::Head& head, const config::HostAnswers& rules) {
    for (const auto& rejection : rules.full()) {
        const bool has_field =
            !rejection.has_header() || http::find(head.fields, rejection.header());
        if (rejection.status() == head.status && has_field) return Outcome::rejected;
    }
    return head.status >= 500 ? Outcome::error : Outcome::success;
}

}  // namespace silverreach::upstream_http

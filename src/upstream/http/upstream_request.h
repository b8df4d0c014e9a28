// A serialized request, as it is sent to hosts.
#pragma once

#include <string>

namespace silverreach::upstream_http {

// Shared by all attempts of a request. Each attempt adds its Silverreach-Attempt field and the
// empty line that ends the head.
struct UpstreamRequest {
    std::string head;  // without the empty line that ends it
    std::string body;
    bool head_method = false;  // the method is HEAD, so the response has no body
};

}  // namespace silverreach::upstream_http

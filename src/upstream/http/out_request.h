// A request in the form in which it is sent to hosts.
#pragma once

#include <string>

namespace silverreach::upstream_http {

// The same for all attempts of a request. Each attempt adds its Silverreach-Attempt field and the
// empty line that ends the head.
struct OutRequest {
    std::string head;  // without the empty line at its end
    std::string body;
    bool head_method = false;  // the response has no body
};

}  // namespace silverreach::upstream_http

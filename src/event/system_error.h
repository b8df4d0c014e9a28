// The error of a start that the system prevents.
#pragma once

#include <stdexcept>

namespace silverreach::event {

// The system refused a resource that a start needs (socket, address, event loop). It may grant it a
// moment later, so a start may be retried; what() is a plain message for the operator.
struct SystemError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace silverreach::event

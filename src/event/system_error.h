// The error for a start that fails because of the operating system.
#pragma once

#include <stdexcept>

namespace silverreach::event {

// The system refused a resource that is needed to start (socket, address, event loop). The cause
// may be temporary, so the start may be retried. what() is a message for the operator.
struct SystemError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace silverreach::event

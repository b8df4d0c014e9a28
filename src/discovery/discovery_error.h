// The errors of obtaining an endpoint list from its source.
#pragma once

#include <string>

namespace silverreach::discovery {

enum class DiscoveryErrorCode {
    connect_failed,    // no connection to the discovery service
    connection_lost,   // the connection or the response ended, or the connection failed
    unexpected_reply,  // an HTTP protocol error, or a status other than success
    malformed_list,    // the reply is not an endpoint list
    implausible_list,  // an older revision or an empty list, not confirmed yet
    unresponsive,      // no reply or no activity within the timeout
    unreadable_file,
};

struct DiscoveryError {
    DiscoveryErrorCode code;
    std::string source;  // the service's address, or the file's path
    std::string detail;

    // Returns the source and the detail, for the log.
    std::string message() const { return source + ": " + detail; }
};

}  // namespace silverreach::discovery

// Why an endpoint list could not be obtained from its source.
#pragma once

#include <string>

namespace silverreach::discovery {

enum class DiscoveryErrorCode {
    connect_failed,    // no connection to the discovery service
    connection_lost,   // it ended or broke
    unexpected_reply,  // an HTTP fault, or a status other than success
    malformed_list,    // the reply is no endpoint list
    implausible_list,  // an older revision or an empty list, not confirmed yet
    unresponsive,      // nothing came within the timeout
    unreadable_file,
};

struct DiscoveryError {
    DiscoveryErrorCode code;
    std::string source;  // the service's address, or the file's path
    std::string detail;

    // For the log: the source and the detail.
    std::string message() const { return source + ": " + detail; }
};

}  // namespace silverreach::discovery

// Validates client commands of the platform's protocol. A valid command yields a request for the
// core and the command that is sent to hosts; an invalid one yields an error and is not processed
// further. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/client_request.h"
#include "platform/config.h"

namespace silverreach::platform {

// The command that is sent to hosts: the client's, with `d` replaced by the time for which the
// gateway waits.
class UpstreamCommand {
  public:
    std::string serialize(Micros remaining) const;          // the complete command, in RESP2
    std::string prefix;                                     // everything before the list of values
    std::string list_before_deadline, list_after_deadline;  // the list around the value of `d`
    std::string suffix;                                     // the body, if the command has one
    bool is_idempotent = true;  // the request may be sent again after a lost attempt
    bool has_effect = false;    // executing it twice is an error, whether it has a key or not
    std::size_t size() const {  // bytes
        return prefix.size() + list_before_deadline.size() + list_after_deadline.size() +
               suffix.size();
    }
};

struct Request {
    std::string error;  // why the command is invalid; empty: it is valid
    std::uint64_t id = 0;
    // Its time_remaining is the client's, at most the deadline of the class.
    core::ClientRequest client_request;
    UpstreamCommand upstream_command;
};

class CommandValidator {
  public:
    explicit CommandValidator(const NodeConfig& config);
    // `arguments`: those of one command, SVC.QUERY or SVC.SUBMIT first.
    Request validate(const std::vector<std::string_view>& arguments) const;
    static bool is_request(std::string_view command);

  private:
    struct ClassInfo {
        int index = 0;
        bool is_idempotent = false, needs_key = false;
        Micros deadline{0};
    };
    std::unordered_map<std::string, ClassInfo> classes_;
    std::unordered_map<std::string, int> plans_;
    int instance_count_ = 1;
    double max_units_ = 1;
};

}  // namespace silverreach::platform

// A client's command in the platform's form, validated as a whole: either a request for the core
// and the command for hosts, or one plain error and nothing of it goes any further. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/client_request.h"
#include "platform/config.h"

namespace silverreach::platform {

// The command as hosts get it, but for `d`, which tells how long the gateway will wait.
class UpstreamCommand {
  public:
    std::string serialize(Micros remaining) const;          // whole, in RESP2
    std::string prefix;                                     // up to the list
    std::string list_before_deadline, list_after_deadline;  // the list around the figure of `d`
    std::string suffix;                                     // the body, if any
    bool is_idempotent = true;  // a lost attempt may be followed by another
};

struct Request {
    std::string error;  // why it is refused as nonsense; empty: it is good
    std::uint64_t id = 0;
    core::ClientRequest client_request;  // time_left as the client told it
    UpstreamCommand upstream_command;
};

class CommandValidator {
  public:
    explicit CommandValidator(const NodeConfig& config);
    // `words`: those of one command, SVC.QUERY or SVC.SUBMIT first.
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

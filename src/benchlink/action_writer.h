// Writes the engine's actions in the simulator's wire protocol, one JSON line for each action.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::benchlink {

class ActionWriter {
  public:
    // `instance_number`: number of the gateway instance whose engine yielded the action.
    void write(std::int64_t instance_number, const Action& action);
    // Appends to `out` the lines written since the last call and the line that ends a reply.
    void finish_reply(std::string& out);

  private:
    void write_values(const SendAttempt& action);
    void write_values(const RejectRequest& action);
    void write_values(const FailRequest& action);
    void write_values(const CancelAttempt& action);
    void write_values(const StartHealthCheck& action);
    void write_values(const SetTimer& action);
    void write_values(const SendPeerMessage& action);

    void append_number(std::uint64_t value);
    void append_text(std::string_view text);

    std::string lines_;
};

}  // namespace silverreach::benchlink

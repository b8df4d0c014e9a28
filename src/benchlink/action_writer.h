// Writes the engine's actions to the wire, one JSON line each.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::benchlink {

class ActionWriter {
  public:
    // `instance` is the number of the gateway instance that yielded the action.
    void write(std::int64_t instance, const Action& action);
    // Appends the lines written since the last call, and the line that ends a reply.
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

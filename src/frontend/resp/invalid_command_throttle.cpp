#include "frontend/resp/invalid_command_throttle.h"

#include <algorithm>

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;
constexpr int unthrottled_commands = 8;
constexpr Micros pause_step = 20ms;
constexpr int max_pause_steps = 25;
}  // namespace

Micros InvalidCommandThrottle::on_invalid() {
    ++consecutive_;
    return pause_step * std::clamp(consecutive_ - unthrottled_commands, 0, max_pause_steps);
}

}  // namespace silverreach::frontend::resp

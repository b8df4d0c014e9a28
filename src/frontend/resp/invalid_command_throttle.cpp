#include "frontend/resp/invalid_command_throttle.h"

#include <algorithm>

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;
constexpr int free_commands = 8;
constexpr Micros pause_step = 20ms;
constexpr int max_steps = 25;
}  // namespace

Micros InvalidCommandThrottle::on_invalid() {
    ++consecutive_;
    return pause_step * std::clamp(consecutive_ - free_commands, 0, max_steps);
}

}  // namespace silverreach::frontend::resp

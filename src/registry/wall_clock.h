// The system's wall clock.
#pragma once

#include "accounts/change.h"

namespace silverreach::registry {

accounts::UnixTime wall_clock_now();

}  // namespace silverreach::registry

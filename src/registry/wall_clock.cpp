#include "registry/wall_clock.h"

#include <sys/time.h>

namespace silverreach::registry {

accounts::UnixTime wall_clock_now() {
    timeval time{};
    gettimeofday(&time, nullptr);
    return accounts::UnixTime(static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_usec / 1000);
}

}  // namespace silverreach::registry

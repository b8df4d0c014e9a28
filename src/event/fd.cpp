#include "event/fd.h"

#include <unistd.h>

namespace silverreach::event {

void Fd::reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

}  // namespace silverreach::event

#include "event/file_watch.h"

#include <sys/stat.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr Micros min_backoff = 100ms;
constexpr Micros max_backoff = 2s;
constexpr std::int64_t ns_per_second = 1'000'000'000;
}  // namespace

FileWatch::FileWatch(Loop& loop, std::string path, Micros period, std::function<void()> on_change)
    : loop_(loop),
      path_(std::move(path)),
      period_(period),
      on_change_(std::move(on_change)),
      last_stamp_(read_stamp()) {
    schedule_check();
}

FileWatch::FileStamp FileWatch::read_stamp() const {
    struct stat status {};
    if (::stat(path_.c_str(), &status) != 0) return {};
    return {static_cast<std::int64_t>(status.st_ino), status.st_size,
            status.st_mtim.tv_sec * ns_per_second + status.st_mtim.tv_nsec};
}

void FileWatch::report(ReadResult result) {
    if (result == ReadResult::complete) {
        backoff_ = retry_at_ = 0us;
        return;
    }
    backoff_ = std::clamp(2 * backoff_, min_backoff, max_backoff);
    retry_at_ = loop_.now() + backoff_;
}

void FileWatch::schedule_check() {
    loop_.after(period_, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        const FileStamp current = read_stamp();
        const FileStamp previous = std::exchange(last_stamp_, current);
        const bool retry_is_due = retry_at_ != 0us && loop_.now() >= retry_at_;
        if (previous != current || retry_is_due) {
            retry_at_ = 0us;
            on_change_();
        }
        if (!alive.expired()) schedule_check();
    });
}

}  // namespace silverreach::event

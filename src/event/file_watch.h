// Polls a file for changes, and has a change that could not be read tried again.
//
// States:   watching ──change──> reading ──complete──> watching
//           reading ──failed──> waiting ──backoff is over, or change──> reading
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "event/loop.h"

namespace silverreach::event {

// Calls back on the loop's thread when the file's content may have changed, that is, when its
// inode, size or modification time in nanoseconds differs. ev_stat is not used because it compares
// times in whole seconds.
class FileWatch {
  public:
    enum class ReadResult {
        complete,  // also if the content is invalid: reading it again would not change that
        failed     // for want of a descriptor or memory, for example
    };
    // Checks `path` every `period`. `on_change` may destroy the FileWatch.
    FileWatch(Loop& loop, std::string path, Micros period, std::function<void()> on_change);
    FileWatch(const FileWatch&) = delete;
    FileWatch& operator=(const FileWatch&) = delete;
    // Reports the result of reading the file, in on_change or later. After a failure on_change is
    // called again with a backoff of 0.1 to 2 s until the file has been read.
    void report(ReadResult result);

  private:
    struct FileStamp {
        std::int64_t inode = 0;
        std::int64_t size_bytes = -1;  // -1: stat() failed
        std::int64_t modified_ns = 0;
        bool operator==(const FileStamp&) const = default;
    };
    FileStamp read_stamp() const;
    void schedule_check();

    Loop& loop_;
    std::string path_;
    Micros period_;
    std::function<void()> on_change_;
    FileStamp last_stamp_;
    Micros backoff_{0};   // of the last failure; 0: the last result was complete
    Micros retry_at_{0};  // 0: no retry is due
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event

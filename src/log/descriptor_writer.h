// Writes complete lines to a descriptor without blocking on its reader. A line that does not fit is
// dropped and counted; the count is written before the next line that fits. A write to a regular
// file may still block on its disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace silverreach::log {

// Not thread-safe.
class DescriptorWriter {
  public:
    // Closes `descriptor` on destruction if `owned`. `format_dropped_line` formats the line that
    // reports how many lines were dropped.
    DescriptorWriter(int descriptor, bool owned,
                     std::function<std::string(std::uint64_t)> format_dropped_line);
    ~DescriptorWriter();
    DescriptorWriter(const DescriptorWriter&) = delete;
    DescriptorWriter& operator=(const DescriptorWriter&) = delete;

    void write(std::string_view line);                  // ends with a newline
    std::uint64_t dropped() const { return dropped_; }  // lines dropped and not reported yet

  private:
    enum class Kind {
        file,
        pipe,  // or a terminal, reopened as non-blocking
        socket,
        unknown
    };
    // Writes the line and keeps what does not fit for the next call. Returns false if nothing of it
    // was written.
    bool try_write(std::string_view line);
    // Returns the bytes written; below 0 on failure.
    long write_some(std::string_view bytes) const;

    int descriptor_;
    bool owned_;
    Kind kind_ = Kind::unknown;
    std::function<std::string(std::uint64_t)> format_dropped_line_;
    std::string unwritten_;  // end of a line that was written in part
    std::uint64_t dropped_ = 0;
};

}  // namespace silverreach::log

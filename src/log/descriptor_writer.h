// Writes whole lines to a descriptor without ever waiting for its reader: what does not fit is
// dropped and counted, and the count is told with the next line that fits. A regular file may still
// wait for its disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace silverreach::log {

class DescriptorWriter {
  public:
    // `owned` descriptors are closed at the end. `dropped_line` words the line that tells of
    // dropped ones.
    DescriptorWriter(int descriptor, bool owned,
                     std::function<std::string(std::uint64_t)> dropped_line);
    ~DescriptorWriter();
    DescriptorWriter(const DescriptorWriter&) = delete;
    DescriptorWriter& operator=(const DescriptorWriter&) = delete;

    void write(std::string_view line);                  // its end included
    std::uint64_t dropped() const { return dropped_; }  // lines that were not told of yet

  private:
    enum class Kind {
        file,
        pipe,
        socket,
        unknown
    };
    bool put(
        std::string_view line);  // whole, or its rest kept for later; false: nothing of it went out
    long write_some(std::string_view bytes) const;

    int descriptor_;
    bool owned_;
    Kind kind_ = Kind::unknown;
    std::function<std::string(std::uint64_t)> dropped_line_;
    std::string rest_;  // of a line that has begun to go out
    std::uint64_t dropped_ = 0;
};

}  // namespace silverreach::log

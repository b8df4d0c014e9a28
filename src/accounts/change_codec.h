// Encodes a change as the body of a log record. Numbers are big-endian, strings are preceded by
// their length (4 bytes), times are milliseconds in 8 bytes. No I/O.
//
//   version (8), time (8), index of the operation (1), the operation's fields in their order
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "accounts/change.h"

namespace silverreach::accounts {

class ByteWriter {
  public:
    void write_number(std::uint64_t value, int width);
    void operator()(const std::string& text);
    void operator()(const KeyHash& hash);
    void operator()(UnixTime time);
    void operator()(RevocationCause cause);
    std::string bytes;
};

// A read beyond the end makes the reader fail; the missing bytes of a number or hash read as 0.
class ByteReader {
  public:
    explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}
    std::uint64_t read_number(int width);
    void operator()(std::string& text);
    void operator()(KeyHash& hash);
    void operator()(UnixTime& time);
    void operator()(RevocationCause& cause);
    // Returns whether no read has failed and no bytes are left.
    bool complete() const { return !failed_ && remaining_.empty(); }

  private:
    std::uint8_t read_byte();

    std::string_view remaining_;
    bool failed_ = false;
};

std::string encode_change(const Change& change);
// Returns nullopt unless `bytes` is exactly one change in the format of this version.
std::optional<Change> decode_change(std::string_view bytes);

}  // namespace silverreach::accounts

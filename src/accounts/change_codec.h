// Encodes a change as the bytes of a log record's body. Numbers are big-endian, texts follow their
// length (4 bytes), times are milliseconds in 8 bytes. No I/O.
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
    void number(std::uint64_t value, int width);
    void operator()(const std::string& text);
    void operator()(const KeyHash& hash);
    void operator()(UnixTime time);
    void operator()(RevocationCause cause);
    std::string bytes;
};

// Reads past the end give zeros and make the reader fail.
class ByteReader {
  public:
    explicit ByteReader(std::string_view bytes) : rest_(bytes) {}
    std::uint64_t number(int width);
    void operator()(std::string& text);
    void operator()(KeyHash& hash);
    void operator()(UnixTime& time);
    void operator()(RevocationCause& cause);
    // Nothing failed, and every byte was read.
    bool complete() const { return !failed_ && rest_.empty(); }

  private:
    std::uint8_t byte();

    std::string_view rest_;
    bool failed_ = false;
};

std::string encode_change(const Change& change);
// Nothing where the bytes are not exactly one change of this version.
std::optional<Change> decode_change(std::string_view bytes);

}  // namespace silverreach::accounts

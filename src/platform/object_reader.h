// Splits a stream of JSON objects. An object ends with its closing brace, independent of line
// breaks and of the chunks in which its bytes arrive. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace silverreach::platform {

class ObjectReader {
  public:
    enum class Status {
        incomplete,
        complete,
        malformed
    };
    explicit ObjectReader(std::size_t max_object_bytes = std::size_t{1024} * 1024)
        : max_object_bytes_(max_object_bytes) {}
    // Consumes bytes from the front of `bytes` until an object is complete or none are left.
    Status read(std::string_view& bytes);
    std::string take();  // the complete object; the reader then starts the next one
    bool is_between_objects() const { return depth_ == 0; }  // no incomplete object is buffered
    std::string_view error() const { return error_; }        // why the stream is malformed

  private:
    std::size_t max_object_bytes_;
    std::string object_;
    int depth_ = 0;
    bool in_string_ = false, escaped_ = false;
    std::string_view error_;
};

}  // namespace silverreach::platform

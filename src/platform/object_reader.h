// Cuts a stream of JSON objects into objects: one ends where its braces close, whatever lines and
// pieces it came in. No I/O.
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
    // Takes bytes off the front of `bytes` until an object is whole, or all are taken.
    Status read(std::string_view& bytes);
    std::string take();  // the whole object; the next one begins
    bool is_between_objects() const { return depth_ == 0; }  // no object has begun
    std::string_view error() const { return error_; }        // it is broken

  private:
    std::size_t max_object_bytes_;
    std::string object_;
    int depth_ = 0;
    bool in_string_ = false, escaped_ = false;
    std::string_view error_;
};

}  // namespace silverreach::platform

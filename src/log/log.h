// Structured log: each line has an event name and fields, as JSON or as readable text.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace spdlog {
class logger;
}

namespace silverreach::log {

enum class Format {
    readable,
    json
};
enum class Level {
    debug,
    info,
    warning,
    error
};
using FieldValue = std::variant<std::string, std::int64_t, double>;
using Fields = std::vector<std::pair<std::string_view, FieldValue>>;

// Not thread-safe.
class Log {
  public:
    // Writes lines of level `min_level` and above to `file`, or to standard error if it is empty.
    // Throws std::runtime_error if the file cannot be opened.
    Log(Format format, Level min_level, const std::string& file);
    ~Log();
    bool is_enabled(Level level) const;  // whether lines of this level are written
    void write(Level level, std::string_view event, const Fields& fields);
    void flush();

  private:
    Format format_;
    std::shared_ptr<spdlog::logger> logger_;
};

// Formats one line without its newline. Characters that are not printable are escaped, so that no
// value can forge a line. As JSON, the line is the members of an object without the braces.
std::string format_line(Format format, std::string_view event, const Fields& fields);

}  // namespace silverreach::log

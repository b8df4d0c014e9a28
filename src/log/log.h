// Structured log lines: a name and fields, as JSON lines or for reading.
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

enum class Form {
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

class Log {
  public:
    // To the file, or to standard error where none is named. Throws std::runtime_error where it
    // cannot be opened.
    Log(Form form, Level least, const std::string& file);
    ~Log();
    bool wants(Level level) const;  // whether a line of that level would be written
    void write(Level level, std::string_view event, const Fields& fields);
    void flush();

  private:
    Form form_;
    std::shared_ptr<spdlog::logger> logger_;
};

// One line without its end; what is not printable is escaped, so that no value can forge a line.
std::string line_of(Form form, std::string_view event, const Fields& fields);

}  // namespace silverreach::log

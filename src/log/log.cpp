#include "log/log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "log/descriptor_writer.h"

namespace silverreach::log {
namespace {
spdlog::level::level_enum to_spdlog_level(Level level) {
    switch (level) {
        case Level::debug:
            return spdlog::level::debug;
        case Level::info:
            return spdlog::level::info;
        case Level::warning:
            return spdlog::level::warn;
        case Level::error:
            return spdlog::level::err;
    }
    return spdlog::level::info;
}
constexpr mode_t file_mode = 0644;

std::string utc_time_text() {
    const std::time_t now = std::time(nullptr);
    std::tm utc{};
    ::gmtime_r(&now, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.000Z", &utc);
    return text.data();
}
// Formats the line that reports how many lines were dropped.
std::string format_dropped_line(Format format, std::uint64_t lines) {
    const std::string line =
        format_line(format, "log_dropped", {{"lines", static_cast<std::int64_t>(lines)}});
    if (format == Format::json)
        return R"({"time":")" + utc_time_text() + R"(","level":"warning",)" + line + "}\n";
    return utc_time_text() + " W " + line + "\n";
}

class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    LineSink(int descriptor, bool owned, Format format)
        : writer_(descriptor, owned,
                  [format](std::uint64_t lines) { return format_dropped_line(format, lines); }) {}

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        writer_.write({line.data(), line.size()});
    }
    void flush_() override {}  // each line is written immediately

  private:
    DescriptorWriter writer_;
};

std::string json_string(const std::string& text) {
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
}  // namespace

std::string format_line(Format format, std::string_view event, const Fields& fields) {
    std::string line = format == Format::json ? "\"event\":" + json_string(std::string(event))
                                              : std::string(event);
    for (const auto& [name, value] : fields) {
        if (format == Format::json)
            line.append(",\"").append(name).append("\":");
        else
            line.append(" ").append(name).append("=");
        if (const auto* text = std::get_if<std::string>(&value)) {
            const bool is_plain =
                !text->empty() &&
                text->find_first_not_of(
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_./:@") ==
                    std::string::npos;
            line += format == Format::readable && is_plain ? *text : json_string(*text);
        } else if (const auto* number = std::get_if<std::int64_t>(&value)) {
            line += std::to_string(*number);
        } else {
            line += nlohmann::json(std::get<double>(value)).dump();
        }
    }
    return line;
}

Log::Log(Format format, Level min_level, const std::string& file) : format_(format) {
    const bool to_file = !file.empty();
    const int descriptor =
        to_file ? ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode)
                : STDERR_FILENO;
    if (descriptor < 0) throw std::runtime_error(file + ": " + std::strerror(errno));
    logger_ = std::make_shared<spdlog::logger>(
        "silverreach", std::make_shared<LineSink>(descriptor, to_file, format));
    logger_->set_pattern(format == Format::json
                             ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                             : "%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                         spdlog::pattern_time_type::utc);
    logger_->set_level(to_spdlog_level(min_level));
}
Log::~Log() {
    flush();
}

bool Log::is_enabled(Level level) const {
    return logger_->should_log(to_spdlog_level(level));
}
void Log::write(Level level, std::string_view event, const Fields& fields) {
    if (!is_enabled(level)) return;
    logger_->log(to_spdlog_level(level), "{}", format_line(format_, event, fields));
}
void Log::flush() {
    logger_->flush();
}

}  // namespace silverreach::log

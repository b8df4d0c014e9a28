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
spdlog::level::level_enum level_of(Level level) {
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

std::string time_now() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.000Z", &parts);
    return text.data();
}
// Formats the line that reports how many lines were dropped.
std::string dropped_line(Form form, std::uint64_t lines) {
    const std::string line =
        line_of(form, "log_dropped", {{"lines", static_cast<std::int64_t>(lines)}});
    if (form == Form::json)
        return R"({"time":")" + time_now() + R"(","level":"warning",)" + line + "}\n";
    return time_now() + " W " + line + "\n";
}

class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    LineSink(int descriptor, bool owned, Form form)
        : writer_(descriptor, owned,
                  [form](std::uint64_t lines) { return dropped_line(form, lines); }) {}

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

std::string quoted(const std::string& text) {
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
}  // namespace

std::string line_of(Form form, std::string_view event, const Fields& fields) {
    std::string out =
        form == Form::json ? "\"event\":" + quoted(std::string(event)) : std::string(event);
    for (const auto& [name, value] : fields) {
        if (form == Form::json)
            out.append(",\"").append(name).append("\":");
        else
            out.append(" ").append(name).append("=");
        if (const auto* text = std::get_if<std::string>(&value)) {
            const bool plain =
                !text->empty() &&
                text->find_first_not_of(
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_./:@") ==
                    std::string::npos;
            out += form == Form::readable && plain ? *text : quoted(*text);
        } else if (const auto* number = std::get_if<std::int64_t>(&value)) {
            out += std::to_string(*number);
        } else {
            out += nlohmann::json(std::get<double>(value)).dump();
        }
    }
    return out;
}

Log::Log(Form form, Level least, const std::string& file) : form_(form) {
    const bool to_file = !file.empty();
    const int descriptor =
        to_file ? ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode)
                : STDERR_FILENO;
    if (descriptor < 0) throw std::runtime_error(file + ": " + std::strerror(errno));
    logger_ = std::make_shared<spdlog::logger>(
        "silverreach", std::make_shared<LineSink>(descriptor, to_file, form));
    logger_->set_pattern(form == Form::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                            : "%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                         spdlog::pattern_time_type::utc);
    logger_->set_level(level_of(least));
}
Log::~Log() {
    flush();
}

bool Log::wants(Level level) const {
    return logger_->should_log(level_of(level));
}
void Log::write(Level level, std::string_view event, const Fields& fields) {
    if (!wants(level)) return;
    logger_->log(level_of(level), "{}", line_of(form_, event, fields));
}
void Log::flush() {
    logger_->flush();
}

}  // namespace silverreach::log

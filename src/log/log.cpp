#include "log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

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
std::string quoted(const std::string& text) {
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
}  // namespace

std::string line_of(Form form, std::string_view event, const Fields& fields) {
    std::string out = form == Form::json ? "\"event\":" + quoted(std::string(event)) : std::string(event);
    for (const auto& [name, value] : fields) {
        if (form == Form::json) out.append(",\"").append(name).append("\":");
        else out.append(" ").append(name).append("=");
        if (const auto* text = std::get_if<std::string>(&value)) {
            const bool plain = !text->empty() &&
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
    try {
        std::shared_ptr<spdlog::sinks::sink> sink;
        if (file.empty()) sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
        else sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
        logger_ = std::make_shared<spdlog::logger>("silverreach", sink);
    } catch (const spdlog::spdlog_ex& error) {
        throw std::runtime_error(error.what());
    }
    logger_->set_pattern(form == Form::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                            : "%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                         spdlog::pattern_time_type::utc);
    logger_->set_level(level_of(least));
    logger_->flush_on(spdlog::level::warn);
}
Log::~Log() { flush(); }

bool Log::wants(Level level) const { return logger_->should_log(level_of(level)); }
void Log::write(Level level, std::string_view event, const Fields& fields) {
    if (!wants(level)) return;
    logger_->log(level_of(level), "{}", line_of(form_, event, fields));
}
void Log::flush() { logger_->flush(); }

}  // namespace silverreach::log

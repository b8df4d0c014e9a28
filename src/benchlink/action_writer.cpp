#include "action_writer.h"

#include <array>
#include <charconv>
#include <variant>

#include "base64.h"
#include "wire_names.h"

namespace silverreach::benchlink {
namespace {
constexpr std::size_t max_decimal_digits = 20;  // of std::uint64_t

void append_decimal(std::string& out, std::uint64_t value) {
    std::array<char, max_decimal_digits> digits;
    char* const first = digits.data();
    out.append(first, std::to_chars(first, first + digits.size(), value).ptr);
}

struct MessageNameVisitor {
    std::string_view operator()(const SendAttempt&) const { return wire_action::send_attempt; }
    std::string_view operator()(const RejectRequest&) const { return wire_action::reject_request; }
    std::string_view operator()(const FailRequest&) const { return wire_action::fail_request; }
    std::string_view operator()(const CancelAttempt&) const { return wire_action::cancel_attempt; }
    std::string_view operator()(const StartHealthCheck&) const {
        return wire_action::start_health_check;
    }
    std::string_view operator()(const SetTimer&) const { return wire_action::set_timer; }
    std::string_view operator()(const SendPeerMessage&) const {
        return wire_action::send_peer_message;
    }
};
}  // namespace

void ActionWriter::write(std::int64_t instance_number, const Action& action) {
    lines_.append("[\"").append(std::visit(MessageNameVisitor{}, action)).append("\"");
    append_number(static_cast<std::uint64_t>(instance_number));
    std::visit([this](const auto& typed_action) { write_values(typed_action); }, action);
    lines_.append("]\n");
}

void ActionWriter::finish_reply(std::string& out) {
    out.append(lines_).append("[\"").append(wire_action::end_of_reply).append("\"]\n");
    lines_.clear();
}

void ActionWriter::write_values(const SendAttempt& action) {
    append_number(action.id);
    append_text(action.endpoint);
    append_number(static_cast<std::uint64_t>(action.timeout.count()));
}

void ActionWriter::write_values(const RejectRequest& action) {
    append_number(action.id);
    append_number(static_cast<std::uint64_t>(action.retry_after.count()));
}

void ActionWriter::write_values(const FailRequest& action) {
    append_number(action.id);
}

void ActionWriter::write_values(const CancelAttempt& action) {
    append_number(action.id);
    append_number(static_cast<std::uint64_t>(action.attempt));
}

void ActionWriter::write_values(const StartHealthCheck& action) {
    append_text(action.endpoint);
}

void ActionWriter::write_values(const SetTimer& action) {
    append_number(static_cast<std::uint64_t>(action.delay.count()));
    lines_.append(",\"");
    append_decimal(lines_, action.token);
    lines_.push_back('"');
}

void ActionWriter::write_values(const SendPeerMessage& action) {
    if (action.to < 0)
        append_text(wire_action::every_peer);
    else
        append_number(static_cast<std::uint64_t>(action.to));
    lines_.append(",\"");
    append_base64(lines_, action.bytes);
    lines_.push_back('"');
}

void ActionWriter::append_number(std::uint64_t value) {
    lines_.push_back(',');
    append_decimal(lines_, value);
}

void ActionWriter::append_text(std::string_view text) {
    lines_.append(",\"");
    for (const char character : text) {
        if (character == '"' || character == '\\') lines_.push_back('\\');
        lines_.push_back(character);
    }
    lines_.push_back('"');
}

}  // namespace silverreach::benchlink

#include "http/parser.h"

#include <algorithm>
#include <utility>

namespace silverreach::http {
namespace {
Parser& parser_from(http_parser* parser) {
    return *static_cast<Parser*>(parser->data);
}
}  // namespace

Parser::Parser(Kind kind, Events& events, HeadLimits limits)
    : events_(events), limits_(limits), kind_(kind) {
    http_parser_init(&parser_, is_request() ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

http_parser_settings Parser::callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* data, size_t size) {
        parser_from(parser).head_.target.append(data, size);
        return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* data, size_t size) {
        Parser& self = parser_from(parser);
        Fields& fields = self.current_fields();
        if (std::exchange(self.last_callback_was_value_, false)) fields.emplace_back();
        fields.back().name.append(data, size);
        return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* data, size_t size) {
        Parser& self = parser_from(parser);
        self.last_callback_was_value_ = true;
        self.current_fields().back().value.append(data, size);
        return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) {
        return parser_from(parser).on_headers_complete();
    };
    settings.on_body = [](http_parser* parser, const char* data, size_t size) {
        parser_from(parser).events_.on_body({data, size});
        return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
        return parser_from(parser).on_message_complete();
    };
    return settings;
}

int Parser::fault_status() const {
    return is_request() ? 400 : 502;
}

// Returns a code for http-parser: 1 if the message has no body, -1 to stop, else 0.
int Parser::on_headers_complete() {
    head_.is_request = is_request();
    head_.minor_version = parser_.http_minor;
    head_.status = static_cast<int>(parser_.status_code);
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.chunked = (parser_.flags & F_CHUNKED) != 0;
    head_.has_content_length = (parser_.flags & F_CONTENTLENGTH) != 0;
    head_.content_length = head_.has_content_length ? parser_.content_length : 0;
    in_trailers_ = true;
    last_callback_was_value_ = true;
    is_informational_ = !is_request() && head_.status >= 100 && head_.status < 200;
    if (is_informational_) return 1;
    const bool no_body = is_response_to_head_ || head_.status == 204 || head_.status == 304;
    head_.until_close = !is_request() && !no_body && !head_.chunked && !head_.has_content_length;
    if (head_.until_close) head_.keep_alive = false;
    if (!events_.on_head(head_)) {
        state_ = State::failed;
        return -1;
    }
    return !is_request() && no_body ? 1 : 0;
}

int Parser::on_message_complete() {
    http_parser_pause(&parser_, 1);
    if (is_informational_) return 0;
    state_ = State::complete;
    events_.on_message_end(trailers_);
    return 0;
}

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
        const std::string_view rest = bytes.substr(consumed);
        if (state_ == State::reading_head)
            consumed += feed_head(rest);
        else if (state_ == State::reading_message)
            consumed += feed_message(rest);
        else
            break;
    }
    return consumed;
}

std::size_t Parser::feed_message(std::string_view bytes) {
    // Validated before http-parser reads them: if they contain an error, none of them is passed on.
    if (head_.chunked) {
        const ChunkError error = chunk_validator_.validate(bytes);
        if (error != ChunkError::none) {
            fail({fault_status(), to_string(error)});
            return 0;
        }
    }
    return execute(bytes);
}

std::size_t Parser::feed_head(std::string_view bytes) {
    const std::size_t before = head_buffer_.size();
    // However large the piece is, at most one byte more than the limit of a head is buffered.
    const std::string_view piece =
        bytes.substr(0, limits_.max_head_bytes + 1 - std::min(limits_.max_head_bytes, before));
    head_buffer_.append(piece);
    std::size_t empty_lines = 0;  // in bytes; ignored before a request (RFC 9112, section 2.2)
    while (is_request() && std::string_view(head_buffer_).substr(empty_lines).starts_with("\r\n"))
        empty_lines += 2;
    head_buffer_.erase(0, empty_lines);
    const std::size_t end = find_head_end(head_buffer_, before - std::min(before, empty_lines));
    if (end == std::string::npos) {
        if (auto fault = check_partial_head(head_buffer_, limits_)) fail(*fault);
        return piece.size();
    }
    std::string head = std::exchange(head_buffer_, {}).substr(0, end);
    const std::size_t consumed = end + empty_lines - before;
    const auto fault = is_request() ? check_request_head(head, limits_) : check_response_head(head);
    if (fault)
        fail(*fault);
    else
        begin_message(std::move(head));
    return consumed;
}

void Parser::begin_message(std::string head) {
    head_ = Head{};
    chunk_validator_ = ChunkValidator{};
    if (is_request()) {
        // The owner decides which methods are valid. http-parser always reads POST, because it
        // accepts only some methods and treats CONNECT differently.
        head_.method = head.substr(0, head.find(' '));
        head.replace(0, head_.method.size(), "POST");
    }
    trailers_.clear();
    in_trailers_ = false;
    last_callback_was_value_ = true;
    is_informational_ = false;
    state_ = State::reading_message;
    execute(head);
    if (is_informational_) reset();
}

std::size_t Parser::execute(std::string_view bytes) {
    static const http_parser_settings settings = callbacks();
    const std::size_t consumed =
        http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (state_ == State::failed) return bytes.size();
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser_, 0);
        return consumed;
    }
    if (error != HPE_OK) fail({fault_status(), http_errno_description(error)});
    return consumed;
}

void Parser::finish() {
    if (state_ == State::failed || state_ == State::complete) return;
    if (state_ == State::reading_message && head_.until_close) {
        execute({});
        return;
    }
    if (!idle()) fail({400, "the connection ended within a message"});
}

void Parser::reset() {
    state_ = State::reading_head;
    head_buffer_ = std::string();
    http_parser_init(&parser_, is_request() ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

void Parser::fail(const Fault& fault) {
    if (state_ == State::failed) return;
    state_ = State::failed;
    events_.on_fault(fault);
}

}  // namespace silverreach::http

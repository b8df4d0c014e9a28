#include "http/parser.h"

#include <utility>

namespace silverreach::http {

Parser::Parser(Kind kind, Events& events, HeadLimits limits)
    : events_(events), limits_(limits), kind_(kind) {
    http_parser_init(&parser_, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

http_parser_settings Parser::callbacks() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, size_t n) {
        static_cast<Parser*>(p->data)->head_.target.append(at, n);
        return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, size_t n) {
        auto& self = *static_cast<Parser*>(p->data);
        Fields& into = self.in_trailers_ ? self.trailers_ : self.head_.fields;
        if (std::exchange(self.last_was_value_, false)) into.emplace_back();
        into.back().name.append(at, n);
        return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, size_t n) {
        auto& self = *static_cast<Parser*>(p->data);
        self.last_was_value_ = true;
        (self.in_trailers_ ? self.trailers_ : self.head_.fields).back().value.append(at, n);
        return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
        return static_cast<Parser*>(p->data)->head_complete();
    };
    s.on_body = [](http_parser* p, const char* at, size_t n) {
        static_cast<Parser*>(p->data)->events_.on_body({at, n});
        return 0;
    };
    s.on_message_complete = [](http_parser* p) {
        auto& self = *static_cast<Parser*>(p->data);
        http_parser_pause(p, 1);
        if (self.informational_) return 0;
        self.done_ = true;
        self.events_.on_message_end(self.trailers_);
        return 0;
    };
    return s;
}

int Parser::head_complete() {
    head_.request = kind_ == Kind::request;
    head_.minor = parser_.http_minor;
    head_.status = static_cast<int>(parser_.status_code);
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.chunked = (parser_.flags & F_CHUNKED) != 0;
    head_.has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
    head_.length = head_.has_length ? parser_.content_length : 0;
    in_trailers_ = true, last_was_value_ = true;
    informational_ = kind_ == Kind::response && head_.status >= 100 && head_.status < 200;
    if (informational_) return 1;  // passed over; the answer proper follows
    const bool no_body = to_head_ || head_.status == 204 || head_.status == 304;
    head_.until_close = kind_ == Kind::response && !no_body && !head_.chunked && !head_.has_length;
    if (head_.until_close) head_.keep_alive = false;
    if (!events_.on_head(head_)) return dead_ = true, -1;
    return kind_ == Kind::response && no_body ? 1 : 0;
}

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (!dead_ && !done_ && taken < bytes.size()) {
        if (in_message_) {
            // The guard first: not a byte of a body goes on that is not chunked as the grammar has
            // it.
            if (head_.chunked)
                if (auto f =
                        chunks_.look(bytes.substr(taken), kind_ == Kind::request ? 400 : 502)) {
                    fault(*f);
                    continue;
                }
            taken += execute(bytes.substr(taken));
            continue;
        }
        const std::size_t from = kept_.size();
        // No more is kept than a head may have, whatever comes in one piece.
        const std::string_view piece =
            bytes.substr(taken, limits_.head + 1 - std::min(limits_.head, from));
        kept_.append(piece);
        std::size_t empty_lines = 0;  // RFC 9112 2.2: before a request they are passed over
        while (kind_ == Kind::request &&
               std::string_view(kept_).substr(empty_lines).starts_with("\r\n"))
            empty_lines += 2;
        kept_.erase(0, empty_lines);
        const std::size_t end = head_end(kept_, from - std::min(from, empty_lines));
        if (end == std::string::npos) {
            taken += piece.size();
            if (auto f = check_partial(kept_, limits_)) fault(*f);
            continue;
        }
        taken += end + empty_lines - from;
        std::string head = std::exchange(kept_, {}).substr(0, end);
        if (auto f = kind_ == Kind::request ? check_request(head, limits_) : check_response(head)) {
            fault(*f);
            continue;
        }
        head_ = Head{}, chunks_ = ChunkGuard{};
        if (kind_ == Kind::request) {
            // http-parser knows some methods, and changes its ways for CONNECT; which are fit is
            // not its to say.
            head_.method = head.substr(0, head.find(' '));
            head.replace(0, head_.method.size(), "POST");
        }
        trailers_.clear();
        in_trailers_ = false, last_was_value_ = true, in_message_ = true, informational_ = false;
        execute(head);
        if (informational_) next();
    }
    return taken;
}

std::size_t Parser::execute(std::string_view bytes) {
    static const http_parser_settings settings = callbacks();
    const std::size_t n = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (dead_) return bytes.size();
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser_, 0);
        return n;
    }
    if (error != HPE_OK) fault({kind_ == Kind::request ? 400 : 502, http_errno_description(error)});
    return n;
}

void Parser::finish() {
    if (dead_ || done_) return;
    if (in_message_ && head_.until_close) {
        execute({});
        return;
    }
    if (!idle()) fault({400, "the connection ended within a message"});
}

void Parser::next() {
    done_ = in_message_ = dead_ = false;
    kept_.clear();
    http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

void Parser::fault(const Fault& f) {
    if (std::exchange(dead_, true)) return;
    events_.on_fault(f);
}

}  // namespace silverreach::http

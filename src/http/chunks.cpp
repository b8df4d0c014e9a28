#include "http/chunks.h"

#include <algorithm>

namespace silverreach::http {
namespace {
constexpr int most_digits = 15;                                 // of a size: 2^60 bytes
constexpr int most_extension = 1024, most_trailers = 8 * 1024;  // bytes

bool is_token(unsigned char c) {
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}
bool is_text(unsigned char c) {
    return c == '\t' || (c >= ' ' && c != 0x7F);
}
int hex(unsigned char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}
}  // namespace

std::optional<Fault> ChunkGuard::look(std::string_view bytes, int status) {
    for (std::size_t i = 0; i < bytes.size() && !done();) {
        if (state_ == State::data && size_ > 0) {
            const std::size_t n = std::min<std::uint64_t>(size_, bytes.size() - i);
            size_ -= n, i += n;
            continue;
        }
        if (const char* wrong = step(static_cast<unsigned char>(bytes[i++])))
            return Fault{status, wrong};
    }
    return std::nullopt;
}

const char* ChunkGuard::step(unsigned char c) {
    const auto go = [this](State s) { return state_ = s, nullptr; };
    if (state_ >= State::extension_start && state_ <= State::quote_closed &&
        ++line_ > most_extension)
        return "a chunk's extensions are too long";
    if (state_ >= State::trailer_start && state_ <= State::trailer_lf &&
        ++trailers_ > most_trailers)
        return "the trailers are too long";
    switch (state_) {
        case State::size_start:
            size_ = 0, digits_ = 0, line_ = 0;
            [[fallthrough]];
        case State::size:
            if (const int digit = hex(c); digit >= 0) {
                if (++digits_ > most_digits) return "a chunk's size is too large";
                size_ = size_ * 16 + static_cast<std::uint64_t>(digit);
                return go(State::size);
            }
            if (digits_ == 0) return "a chunk's size must be hexadecimal digits";
            if (c == ';') return go(State::extension_start);
            return c == '\r' ? go(State::size_lf)
                             : "a chunk's size must end with CR LF or an extension";
        case State::extension_start:
            return is_token(c) ? go(State::extension) : "a chunk's extension must have a name";
        case State::extension:
            if (c == '=') return go(State::value_start);
            [[fallthrough]];
        case State::value:
            if (is_token(c)) return nullptr;
            [[fallthrough]];
        case State::quote_closed:
            if (c == ';') return go(State::extension_start);
            return c == '\r' ? go(State::size_lf) : "a chunk's extension must end with CR LF";
        case State::value_start:
            if (c == '"') return go(State::quoted);
            return is_token(c) ? go(State::value)
                               : "a chunk's extension must have a value after \"=\"";
        case State::quoted:
            if (c == '"') return go(State::quote_closed);
            if (c == '\\') return go(State::escaped);
            return is_text(c) ? nullptr : "a chunk's extension holds a control character";
        case State::escaped:
            return is_text(c) ? go(State::quoted) : "a chunk's extension holds a control character";
        case State::size_lf:
            if (c != '\n') return "a chunk's size must end with CR LF";
            return go(size_ == 0 ? State::trailer_start : State::data);
        case State::data:  // its last byte is behind
        case State::data_cr:
            return c == '\r' ? go(State::data_lf) : "a chunk's data must end with CR LF";
        case State::data_lf:
            return c == '\n' ? go(State::size_start) : "a chunk's data must end with CR LF";
        case State::trailer_start:
            if (c == '\r') return go(State::end_lf);
            return is_token(c) ? go(State::trailer_name) : "a trailer must begin with its name";
        case State::trailer_name:
            if (c == ':') return go(State::trailer_value);
            return is_token(c) ? nullptr : "a trailer's name must be followed by a colon";
        case State::trailer_value:
            if (c == '\r') return go(State::trailer_lf);
            return is_text(c) ? nullptr : "a trailer holds a control character";
        case State::trailer_lf:
            return c == '\n' ? go(State::trailer_start) : "a trailer must end with CR LF";
        case State::end_lf:
            return c == '\n' ? go(State::done) : "a chunked body must end with CR LF";
        case State::done:
            return nullptr;
    }
    return nullptr;
}

}  // namespace silverreach::http

#include "http/chunk_validator.h"

#include <algorithm>

namespace silverreach::http {
namespace {
constexpr int max_size_digits = 15;  // hexadecimal: sizes below 2^60 bytes
constexpr int max_extension_bytes = 1024;
constexpr int max_trailer_bytes = 8 * 1024;
constexpr std::uint64_t hex_base = 16;

bool is_token_character(unsigned char byte) {
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) !=
               std::string_view::npos;
}
bool is_text_character(unsigned char byte) {
    return byte == '\t' || (byte >= ' ' && byte != 0x7F);
}
int hex_digit_value(unsigned char byte) {
    if (byte >= '0' && byte <= '9') return byte - '0';
    if (byte >= 'a' && byte <= 'f') return byte - 'a' + 10;
    if (byte >= 'A' && byte <= 'F') return byte - 'A' + 10;
    return -1;
}
}  // namespace

std::string_view to_string(ChunkError error) {
    switch (error) {
        case ChunkError::none:
            return "";
        case ChunkError::size_not_hexadecimal:
            return "a chunk's size must be hexadecimal digits";
        case ChunkError::size_too_large:
            return "a chunk's size is too large";
        case ChunkError::size_not_terminated:
            return "a chunk's size must end with CR LF or an extension";
        case ChunkError::size_without_crlf:
            return "a chunk's size must end with CR LF";
        case ChunkError::extension_without_name:
            return "a chunk's extension must have a name";
        case ChunkError::extension_without_value:
            return "a chunk's extension must have a value after \"=\"";
        case ChunkError::extension_without_crlf:
            return "a chunk's extension must end with CR LF";
        case ChunkError::extension_control_character:
            return "a chunk's extension holds a control character";
        case ChunkError::extensions_too_long:
            return "a chunk's extensions are too long";
        case ChunkError::data_without_crlf:
            return "a chunk's data must end with CR LF";
        case ChunkError::trailer_without_name:
            return "a trailer must begin with its name";
        case ChunkError::trailer_without_colon:
            return "a trailer's name must be followed by a colon";
        case ChunkError::trailer_without_crlf:
            return "a trailer must end with CR LF";
        case ChunkError::trailer_control_character:
            return "a trailer holds a control character";
        case ChunkError::trailers_too_long:
            return "the trailers are too long";
        case ChunkError::body_without_crlf:
            return "a chunked body must end with CR LF";
    }
    return "";
}

ChunkError ChunkValidator::validate(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size() && !done();) {
        if (state_ == State::data && remaining_bytes_ > 0) {
            const std::size_t skipped = std::min<std::uint64_t>(remaining_bytes_, bytes.size() - i);
            remaining_bytes_ -= skipped;
            i += skipped;
            continue;
        }
        const ChunkError error = read_byte(static_cast<unsigned char>(bytes[i]));
        if (error != ChunkError::none) return error;
        ++i;
    }
    return ChunkError::none;
}

ChunkError ChunkValidator::transition_to(State next) {
    state_ = next;
    return ChunkError::none;
}

bool ChunkValidator::in_extension() const {
    return state_ >= State::extension_start && state_ <= State::quote_closed;
}
bool ChunkValidator::in_trailers() const {
    return state_ >= State::trailer_start && state_ <= State::trailer_lf;
}

ChunkError ChunkValidator::read_byte(unsigned char byte) {
    if (state_ == State::size_start || state_ == State::size) return read_size(byte);
    if (in_extension()) return read_extension(byte);
    if (in_trailers()) return read_trailer(byte);
    return read_line_end(byte);
}

ChunkError ChunkValidator::read_size(unsigned char byte) {
    if (state_ == State::size_start) {
        remaining_bytes_ = 0;
        size_digits_ = 0;
        extension_bytes_ = 0;
    }
    if (const int digit = hex_digit_value(byte); digit >= 0) {
        if (++size_digits_ > max_size_digits) return ChunkError::size_too_large;
        remaining_bytes_ = remaining_bytes_ * hex_base + static_cast<std::uint64_t>(digit);
        return transition_to(State::size);
    }
    if (size_digits_ == 0) return ChunkError::size_not_hexadecimal;
    if (byte == ';') return transition_to(State::extension_start);
    return byte == '\r' ? transition_to(State::size_lf) : ChunkError::size_not_terminated;
}

ChunkError ChunkValidator::read_extension(unsigned char byte) {
    if (++extension_bytes_ > max_extension_bytes) return ChunkError::extensions_too_long;
    switch (state_) {
        case State::extension_start:
            return is_token_character(byte) ? transition_to(State::extension_name)
                                            : ChunkError::extension_without_name;
        case State::value_start:
            if (byte == '"') return transition_to(State::quoted_value);
            return is_token_character(byte) ? transition_to(State::value)
                                            : ChunkError::extension_without_value;
        case State::quoted_value:
            if (byte == '"') return transition_to(State::quote_closed);
            if (byte == '\\') return transition_to(State::escaped_character);
            return is_text_character(byte) ? ChunkError::none
                                           : ChunkError::extension_control_character;
        case State::escaped_character:
            return is_text_character(byte) ? transition_to(State::quoted_value)
                                           : ChunkError::extension_control_character;
        default:  // extension_name, value, quote_closed
            if (state_ == State::extension_name && byte == '=')
                return transition_to(State::value_start);
            if (state_ != State::quote_closed && is_token_character(byte)) return ChunkError::none;
            if (byte == ';') return transition_to(State::extension_start);
            return byte == '\r' ? transition_to(State::size_lf)
                                : ChunkError::extension_without_crlf;
    }
}

ChunkError ChunkValidator::read_line_end(unsigned char byte) {
    switch (state_) {
        case State::size_lf:
            if (byte != '\n') return ChunkError::size_without_crlf;
            return transition_to(remaining_bytes_ == 0 ? State::trailer_start : State::data);
        case State::data:  // which has been read completely
        case State::data_cr:
            return byte == '\r' ? transition_to(State::data_lf) : ChunkError::data_without_crlf;
        case State::data_lf:
            return byte == '\n' ? transition_to(State::size_start) : ChunkError::data_without_crlf;
        case State::end_lf:
            return byte == '\n' ? transition_to(State::done) : ChunkError::body_without_crlf;
        default:
            return ChunkError::none;
    }
}

ChunkError ChunkValidator::read_trailer(unsigned char byte) {
    if (++trailer_bytes_ > max_trailer_bytes) return ChunkError::trailers_too_long;
    switch (state_) {
        case State::trailer_start:
            if (byte == '\r') return transition_to(State::end_lf);
            return is_token_character(byte) ? transition_to(State::trailer_name)
                                            : ChunkError::trailer_without_name;
        case State::trailer_name:
            if (byte == ':') return transition_to(State::trailer_value);
            return is_token_character(byte) ? ChunkError::none : ChunkError::trailer_without_colon;
        case State::trailer_value:
            if (byte == '\r') return transition_to(State::trailer_lf);
            return is_text_character(byte) ? ChunkError::none
                                           : ChunkError::trailer_control_character;
        default:  // trailer_lf
            return byte == '\n' ? transition_to(State::trailer_start)
                                : ChunkError::trailer_without_crlf;
    }
}

}  // namespace silverreach::http

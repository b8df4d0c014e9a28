// Checks a chunked body against the grammar of RFC 9112, section 7.1. No I/O.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverreach::http {

enum class ChunkError {
    none,
    size_not_hexadecimal,
    size_too_large,
    size_not_terminated,  // followed by neither CR LF nor an extension
    size_without_crlf,
    extension_without_name,
    extension_without_value,
    extension_without_crlf,
    extension_control_character,
    extensions_too_long,
    data_without_crlf,
    trailer_without_name,
    trailer_without_colon,
    trailer_without_crlf,
    trailer_control_character,
    trailers_too_long,
    body_without_crlf
};
// Returns a description for the error response; empty for `none`.
std::string_view to_string(ChunkError error);

// Validates a body byte by byte, in pieces of any size. It is stricter than http-parser, because
// bytes that one program tolerates may be read as the next message by another program on the path.
// White space around ";" and "=", which the grammar allows but senders do not use, is an error too.
class ChunkValidator {
  public:
    // Reads bytes up to the end of the body or the first invalid byte. Returns the error of that
    // byte, or `none`.
    ChunkError validate(std::string_view bytes);
    bool done() const { return state_ == State::done; }

  private:
    // Each state is named for the element that is expected next. The states are in the order of a
    // body, on which in_extension and in_trailers depend.
    enum class State {
        size_start,
        size,
        extension_start,  // after ";"
        extension_name,
        value_start,  // after "="
        value,
        quoted_value,
        escaped_character,
        quote_closed,
        size_lf,
        data,
        data_cr,
        data_lf,
        trailer_start,
        trailer_name,
        trailer_value,
        trailer_lf,
        end_lf,
        done
    };
    ChunkError transition_to(State next);
    ChunkError read_byte(unsigned char byte);
    ChunkError read_size(unsigned char byte);
    ChunkError read_extension(unsigned char byte);
    ChunkError read_line_end(unsigned char byte);
    ChunkError read_trailer(unsigned char byte);
    bool in_extension() const;
    bool in_trailers() const;

    State state_ = State::size_start;
    // Of the chunk's data. While the size is read: the value of its digits so far.
    std::uint64_t remaining_bytes_ = 0;
    int size_digits_ = 0;
    int extension_bytes_ = 0;  // of the current chunk
    int trailer_bytes_ = 0;    // of all trailers
};

}  // namespace silverreach::http

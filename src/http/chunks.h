// Holds a chunked body to the grammar of RFC 9112, section 7.1, byte by byte, in pieces of any
// size. http-parser reads more than that: what it passes over, another program in the way may read
// as the next message. Two things of the grammar are not taken either, as nobody sends them: white
// space around ";" and
// "=". No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/head.h"

namespace silverreach::http {

class ChunkGuard {
  public:
    // Looks at bytes up to the body's end or the first that is wrong; then says what. `status`: of
    // the fault.
    std::optional<Fault> look(std::string_view bytes, int status);
    bool done() const { return state_ == State::done; }

  private:
    enum class State {
        size_start,
        size,
        extension_start,  // after ";"
        extension,
        value_start,  // after "="
        value,
        quoted,
        escaped,
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
    const char* step(unsigned char c);  // what is wrong with it; nullptr: nothing

    State state_ = State::size_start;
    std::uint64_t size_ = 0;
    int digits_ = 0, line_ = 0,
        trailers_ = 0;  // of this size; bytes of this extension; bytes of all trailers
};

}  // namespace silverreach::http

// RESP2 commands as a server reads them: arrays of bulk strings, each as words. No I/O.
//
// Every length is judged at its own line, before a byte of what it announces is waited for, so what
// a client claims costs no memory. Source: the published description of the Redis serialization
// protocol, version 2.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace silverreach::resp {

struct Limits {
    std::size_t items = 8;          // words of a command, or elements of an answer
    std::size_t bulk = 64 * 1024;   // bytes of one value
    std::size_t total = 68 * 1024;  // of a whole command or answer
    std::size_t line = 256;         // of a status or error line
};

enum class Got {
    more,
    whole,
    broken
};

class CommandReader {
  public:
    explicit CommandReader(Limits limits = {}) : limits_(limits) {}
    // `bytes` begin with the command under way; between two calls they only grow.
    Got look(std::string_view bytes);
    std::size_t size() const { return at_; }             // bytes of the whole command
    std::size_t words() const { return words_.size(); }  // of it
    std::string_view word(std::string_view bytes, std::size_t i) const {
        return bytes.substr(words_[i].first, words_[i].second);
    }
    std::string_view why() const { return why_; }  // it is broken
    void next();                                   // the following command begins

  private:
    Got broken(std::string_view why) { return why_ = why, Got::broken; }
    Limits limits_;
    std::size_t at_ = 0;
    std::int64_t items_ = -1, bulk_ = -1;  // below 0: its line has not come
    std::vector<std::pair<std::size_t, std::size_t>> words_;
    std::string_view why_;
};

// A length line at `at`: `mark`, digits or -1, CRLF. Moves `at` behind it.
Got read_length(std::string_view bytes, std::size_t& at, char mark, std::int64_t& value);
// The CRLF behind a value that ends at `at`: whether it is there, may still come, or is something
// else.
Got read_value_end(std::string_view bytes, std::size_t at);

void append_bulk(std::string& out, std::string_view value);
void append_array(std::string& out, std::size_t items);

}  // namespace silverreach::resp

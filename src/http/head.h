// HTTP/1.1 heads: what may pass, and the fields of a message. No I/O. RFC 9110, 9112.
#pragma once

#include <cstdint>
#include <ctime>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace silverreach::http {

struct Field {
    std::string name, value;
};
using Fields = std::vector<Field>;

bool same_name(std::string_view a, std::string_view b);  // names differ by case only
// The value of the first field of that name; nullptr: none.
const std::string* find(const Fields& fields, std::string_view name);
// Whether a comma-separated field lists the word, in whatever case.
bool lists(const Fields& fields, std::string_view name, std::string_view word);

// Why a head is turned away: an answer's status and a plain word.
struct Fault {
    int status = 400;
    std::string_view why;
};

struct HeadLimits {
    std::size_t target = 8192, head = 16384, fields = 100;
};

// Judges a request's whole head, its empty line included. Everything that two programs could read
// differently is refused: bare CR or LF, folded lines, space before a colon, lengths that are
// repeated, signed or beside Transfer-Encoding, codings other than chunked, a missing or second
// Host.
std::optional<Fault> check_request(std::string_view head, const HeadLimits& limits);
// The same for a host's answer, as far as it applies.
std::optional<Fault> check_response(std::string_view head);
// Of a head that is not whole yet: whether it has passed a limit already.
std::optional<Fault> check_partial(std::string_view head, const HeadLimits& limits);
// The end of the head, past its empty line; npos: not there yet. Searches from `from`.
std::size_t head_end(std::string_view bytes, std::size_t from);

// Fields that concern one connection only are not passed on: those of RFC 9110 7.6.1 and what
// Connection names. The words of the Connection field.
std::vector<std::string_view> connection_words(const Fields& fields);
bool hop_by_hop(const std::vector<std::string_view>& connection, std::string_view name);

bool token(std::string_view text);             // RFC 9110 5.6.2, not empty
bool sound_request_id(std::string_view text);  // 1 to 64 letters, digits, '.', '_', '-'
bool sound_traceparent(std::string_view text);

std::string_view reason_phrase(int status);
std::string date_text(std::time_t at);  // IMF-fixdate, RFC 9110 5.6.7

}  // namespace silverreach::http

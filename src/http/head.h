// Checks of HTTP/1.1 heads, and the fields of a message (RFC 9110, 9112). No I/O.
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
    std::string name;
    std::string value;
};
using Fields = std::vector<Field>;

bool same_name(std::string_view a, std::string_view b);  // names differ by case only
// The value of the first field of that name; nullptr: none.
const std::string* find(const Fields& fields, std::string_view name);
// Whether a comma-separated field contains the element, in whatever case.
bool list_contains(const Fields& fields, std::string_view name, std::string_view element);

// Why a message is rejected.
struct Fault {
    int status = 400;      // for the response to it
    std::string_view why;  // for people; a literal
};

struct HeadLimits {
    std::size_t target = 8192;  // bytes
    std::size_t head = 16384;   // bytes
    std::size_t fields = 100;
};

// Checks a request's complete head, its empty line included. Everything that two programs could
// read differently is rejected: bare CR or LF, folded lines, space before a colon, lengths that are
// repeated, signed or beside Transfer-Encoding, codings other than chunked, a missing or second
// Host.
std::optional<Fault> check_request(std::string_view head, const HeadLimits& limits);
// The same for a response, as far as it applies. The status of its faults is 502.
std::optional<Fault> check_response(std::string_view head);
// Whether an incomplete head exceeds a limit already, or has a bare LF.
std::optional<Fault> check_partial(std::string_view head, const HeadLimits& limits);
// The end of the head, past its empty line; npos: not there yet. `from`: so many bytes have been
// searched before.
std::size_t head_end(std::string_view bytes, std::size_t from);

// The options of the Connection field: views into `fields`.
std::vector<std::string_view> connection_options(const Fields& fields);
// Whether a field concerns one connection only and is not forwarded: those of RFC 9110 7.6.1 and
// what Connection names.
bool hop_by_hop(const std::vector<std::string_view>& connection_options, std::string_view name);

bool is_token(std::string_view text);              // RFC 9110 5.6.2, not empty
bool is_valid_request_id(std::string_view text);   // 1 to 64 letters, digits, '.', '_', '-'
bool is_valid_traceparent(std::string_view text);  // W3C Trace Context, version 00

std::string_view reason_phrase(int status);  // empty: unknown
std::string date_text(std::time_t at);       // IMF-fixdate, RFC 9110 5.6.7

}  // namespace silverreach::http

// Validates the heads of HTTP/1.1 messages and reads their fields (RFC 9110, RFC 9112). No I/O.
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

// Whether the texts are equal apart from the case of ASCII letters.
bool equals_ignore_case(std::string_view a, std::string_view b);
// Returns the value of the first field of that name; nullptr if there is none.
const std::string* find(const Fields& fields, std::string_view name);
// Whether a comma-separated field of that name contains the element, ignoring case.
bool list_contains(const Fields& fields, std::string_view name, std::string_view element);

// Why a message is rejected.
struct Fault {
    int status = 400;         // of the error response
    std::string_view reason;  // human-readable, with static storage
};

struct HeadLimits {
    std::size_t max_target_bytes = 8192;
    std::size_t max_head_bytes = 16384;
    std::size_t max_fields = 100;
};

// Checks a complete request head, which includes the empty line. Rejects everything that two
// programs could interpret differently: bare CR or LF, folded lines, white space before a colon, a
// Content-Length that is repeated, signed or combined with Transfer-Encoding, transfer codings
// other than chunked, and a missing (in HTTP/1.1) or repeated Host.
std::optional<Fault> check_request_head(std::string_view head, const HeadLimits& limits);
// Checks a complete response head in the same way, as far as the rules apply. Faults have status
// 502.
std::optional<Fault> check_response_head(std::string_view head);
// Checks whether an incomplete head already exceeds a limit or contains a bare LF.
std::optional<Fault> check_partial_head(std::string_view head, const HeadLimits& limits);
// Returns the position after the head's empty line; npos if the head is incomplete. `from`: the
// number of bytes that an earlier call has searched.
std::size_t find_head_end(std::string_view bytes, std::size_t from);

// Returns the options of the Connection field as views into `fields`.
std::vector<std::string_view> connection_options(const Fields& fields);
// Whether a field applies to a single connection and is not forwarded: the fields of RFC 9110,
// section 7.6.1, and those that Connection names.
bool is_hop_by_hop(const std::vector<std::string_view>& connection_options, std::string_view name);

bool is_token(std::string_view text);              // not empty (RFC 9110, section 5.6.2)
bool is_valid_request_id(std::string_view text);   // 1 to 64 letters, digits, '.', '_', '-'
bool is_valid_traceparent(std::string_view text);  // W3C Trace Context, version 00

std::string_view reason_phrase(int status);           // empty for an unknown status
std::string format_http_date(std::time_t timestamp);  // IMF-fixdate (RFC 9110, section 5.6.7)

}  // namespace silverreach::http

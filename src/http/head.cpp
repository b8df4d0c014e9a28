#include "http/head.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace silverreach::http {
namespace {
constexpr std::string_view digits = "0123456789";
constexpr std::size_t max_content_length_digits = 15;
constexpr std::size_t max_response_fields = 256;
constexpr std::size_t max_request_line_overhead = 40;  // bytes of method, version and spaces

char to_lower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}
bool is_token_character(char character) {
    return (character >= '0' && character <= '9') ||
           (to_lower(character) >= 'a' && to_lower(character) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}
std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}
std::string_view next_element(std::string_view& list) {
    const std::size_t end = std::min(list.find(','), list.size());
    const std::string_view element = trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    return element;
}

// The field lines of a head that determine where the message ends, and its Host.
struct Framing {
    int content_length_count = 0;
    int transfer_coding_count = 0;
    int host_count = 0;
    std::string_view content_length;
    std::string_view transfer_coding;
    std::string_view host;

    void add(std::string_view name, std::string_view value);
};

void Framing::add(std::string_view name, std::string_view value) {
    if (equals_ignore_case(name, "Content-Length")) {
        ++content_length_count;
        content_length = value;
    } else if (equals_ignore_case(name, "Transfer-Encoding")) {
        ++transfer_coding_count;
        transfer_coding = value;
    } else if (equals_ignore_case(name, "Host")) {
        ++host_count;
        host = value;
    }
}

bool has_control_character(std::string_view value) {
    return std::any_of(value.begin(), value.end(), [](char character) {
        return (static_cast<unsigned char>(character) < 0x20 && character != '\t') ||
               character == 0x7F;
    });
}

// Checks the field lines that follow the first line; `lines` ends with the empty line.
std::optional<Fault> check_fields(std::string_view lines, std::size_t max_fields,
                                  Framing& framing) {
    std::size_t count = 0;
    while (true) {
        const std::size_t end = lines.find("\r\n");
        if (end == std::string_view::npos) return Fault{400, "a line that does not end with CR LF"};
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(end + 2);
        if (line.empty()) return std::nullopt;
        if (++count > max_fields) return Fault{431, "too many fields"};
        if (line.front() == ' ' || line.front() == '\t') return Fault{400, "a folded line"};
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) return Fault{400, "a field without a colon"};
        const std::string_view name = line.substr(0, colon);
        if (!is_token(name)) return Fault{400, "a field name that is no token"};
        const std::string_view value = trim(line.substr(colon + 1));
        if (has_control_character(value)) return Fault{400, "a control character in a field"};
        framing.add(name, value);
    }
}

std::optional<Fault> check_framing(const Framing& framing, bool http_1_0) {
    if (framing.content_length_count > 1) return Fault{400, "Content-Length more than once"};
    if (framing.transfer_coding_count > 1) return Fault{400, "Transfer-Encoding more than once"};
    if (framing.content_length_count && framing.transfer_coding_count)
        return Fault{400, "Content-Length beside Transfer-Encoding"};
    if (framing.content_length_count &&
        (framing.content_length.empty() ||
         framing.content_length.find_first_not_of(digits) != std::string_view::npos))
        return Fault{400, "a Content-Length that is not digits alone"};
    if (framing.content_length.size() > max_content_length_digits)
        return Fault{413, "a Content-Length beyond all limits"};
    if (framing.transfer_coding_count && http_1_0)
        return Fault{400, "Transfer-Encoding in HTTP/1.0"};
    if (framing.transfer_coding_count && !equals_ignore_case(framing.transfer_coding, "chunked"))
        return Fault{501, "a transfer coding other than chunked"};
    return std::nullopt;
}

bool is_valid_host(std::string_view host) {
    return std::all_of(host.begin(), host.end(), [](char character) {
        return character > 0x20 && character < 0x7F &&
               std::string_view("/\\?#@<>\"{}|^`,").find(character) == std::string_view::npos;
    });
}
}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return to_lower(x) == to_lower(y);
           });
}
const std::string* find(const Fields& fields, std::string_view name) {
    for (const Field& field : fields)
        if (equals_ignore_case(field.name, name)) return &field.value;
    return nullptr;
}
bool list_contains(const Fields& fields, std::string_view name, std::string_view element) {
    for (const Field& field : fields) {
        if (!equals_ignore_case(field.name, name)) continue;
        std::string_view list = field.value;
        while (!list.empty())
            if (equals_ignore_case(next_element(list), element)) return true;
    }
    return false;
}
bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

std::size_t find_head_end(std::string_view bytes, std::size_t from) {
    const std::size_t at = bytes.find("\r\n\r\n", from < 3 ? 0 : from - 3);
    return at == std::string_view::npos ? at : at + 4;
}

std::optional<Fault> check_partial_head(std::string_view head, const HeadLimits& limits) {
    const std::size_t line_bytes = std::min(head.find("\r\n"), head.size());
    if (line_bytes > limits.max_target_bytes + max_request_line_overhead)
        return Fault{414, "a target that is too long"};
    if (head.size() > limits.max_head_bytes) return Fault{431, "a head that is too long"};
    // A bare LF is rejected before the head is complete: a client that sends one waits for a
    // response, but the end of its head would never be found.
    for (std::size_t i = head.find('\n'); i != std::string_view::npos; i = head.find('\n', i + 1))
        if (i == 0 || head[i - 1] != '\r') return Fault{400, "a line that does not end with CR LF"};
    return std::nullopt;
}

std::optional<Fault> check_request_head(std::string_view head, const HeadLimits& limits) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    if (line.find_first_of(std::string_view("\n\r\0", 3)) != std::string_view::npos)
        return Fault{400, "a control character in the request line"};
    const std::size_t first_space = line.find(' ');
    const std::size_t last_space = line.rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space)
        return Fault{400, "a request line that is not whole"};
    const std::string_view method = line.substr(0, first_space);
    const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
    const std::string_view version = line.substr(last_space + 1);
    if (!is_token(method)) return Fault{400, "a method that is no token"};
    if (target.size() > limits.max_target_bytes) return Fault{414, "a target that is too long"};
    if (head.size() > limits.max_head_bytes) return Fault{431, "a head that is too long"};
    for (const char character : target)
        if (character <= 0x20 || character == 0x7F || static_cast<unsigned char>(character) >= 0x80)
            return Fault{400, "a target with characters that must be escaped"};
    if (version.size() != 8 || !version.starts_with("HTTP/"))
        return Fault{400, "a request line that is not whole"};
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return Fault{505, "a version other than HTTP/1.0 or 1.1"};
    Framing framing;
    if (auto fault = check_fields(head.substr(end + 2), limits.max_fields, framing)) return fault;
    const bool http_1_0 = version == "HTTP/1.0";
    if (auto fault = check_framing(framing, http_1_0)) return fault;
    if (framing.host_count > 1 || (framing.host_count == 0 && !http_1_0))
        return Fault{400, "Host missing or more than once"};
    if (!is_valid_host(framing.host)) return Fault{400, "a Host that is no host"};
    return std::nullopt;
}

std::optional<Fault> check_response_head(std::string_view head) {
    const std::size_t end = head.find("\r\n");
    const bool is_status_line =
        head.starts_with("HTTP/1.") && end != std::string_view::npos && end >= 12;
    if (!is_status_line ||
        head.substr(0, end).find_first_of(std::string_view("\n\r\0", 3)) != std::string_view::npos)
        return Fault{502, "a status line that is not whole"};
    Framing framing;
    if (auto fault = check_fields(head.substr(end + 2), max_response_fields, framing))
        return Fault{502, fault->reason};
    if (auto fault = check_framing(framing, false)) return Fault{502, fault->reason};
    return std::nullopt;
}

std::vector<std::string_view> connection_options(const Fields& fields) {
    std::vector<std::string_view> options;
    for (const Field& field : fields) {
        if (!equals_ignore_case(field.name, "Connection")) continue;
        std::string_view list = field.value;
        while (!list.empty())
            options.push_back(next_element(list));
    }
    return options;
}
bool is_hop_by_hop(const std::vector<std::string_view>& connection_options, std::string_view name) {
    static constexpr std::array<std::string_view, 10> always_hop_by_hop = {
        "Connection",        "Keep-Alive",        "Proxy-Connection", "TE",
        "Transfer-Encoding", "Trailer",           "Upgrade",          "Proxy-Authorization",
        "HTTP2-Settings",    "Proxy-Authenticate"};
    const auto matches = [&](std::string_view other) { return equals_ignore_case(name, other); };
    return std::any_of(always_hop_by_hop.begin(), always_hop_by_hop.end(), matches) ||
           std::any_of(connection_options.begin(), connection_options.end(), matches);
}

bool is_valid_request_id(std::string_view text) {
    return !text.empty() && text.size() <= 64 &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') ||
                      (to_lower(character) >= 'a' && to_lower(character) <= 'z') ||
                      character == '.' || character == '_' || character == '-';
           });
}
bool is_valid_traceparent(std::string_view text) {
    const auto is_hex_field = [&](std::size_t from, std::size_t size) {
        bool is_zero = true;
        for (std::size_t i = from; i < from + size; ++i) {
            if (!((text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f')))
                return false;
            is_zero = is_zero && text[i] == '0';
        }
        return !is_zero || size == 2;
    };
    return text.size() == 55 && text.starts_with("00-") && text[35] == '-' && text[52] == '-' &&
           is_hex_field(3, 32) && is_hex_field(36, 16) && is_hex_field(53, 2);
}

std::string format_http_date(std::time_t timestamp) {
    // strftime is not used because its names depend on the locale.
    static constexpr std::array<const char*, 7> days{"Sun", "Mon", "Tue", "Wed",
                                                     "Thu", "Fri", "Sat"};
    static constexpr std::array<const char*, 12> months{"Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                                        "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"};
    std::tm time{};
    gmtime_r(&timestamp, &time);
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%s, %02d %s %04d %02d:%02d:%02d GMT",
                  days[static_cast<std::size_t>(time.tm_wday)], time.tm_mday,
                  months[static_cast<std::size_t>(time.tm_mon)], time.tm_year + 1900, time.tm_hour,
                  time.tm_min, time.tm_sec);
    return text.data();
}

std::string_view reason_phrase(int status) {
    static constexpr std::array<std::pair<int, std::string_view>, 24> phrases = {
        {{200, "OK"},
         {201, "Created"},
         {202, "Accepted"},
         {204, "No Content"},
         {304, "Not Modified"},
         {400, "Bad Request"},
         {401, "Unauthorized"},
         {403, "Forbidden"},
         {404, "Not Found"},
         {405, "Method Not Allowed"},
         {408, "Request Timeout"},
         {409, "Conflict"},
         {413, "Content Too Large"},
         {414, "URI Too Long"},
         {417, "Expectation Failed"},
         {421, "Misdirected Request"},
         {429, "Too Many Requests"},
         {431, "Request Header Fields Too Large"},
         {500, "Internal Server Error"},
         {501, "Not Implemented"},
         {502, "Bad Gateway"},
         {503, "Service Unavailable"},
         {504, "Gateway Timeout"},
         {505, "HTTP Version Not Supported"}}};
    for (const auto& [code, phrase] : phrases)
        if (code == status) return phrase;
    return "";
}

}  // namespace silverreach::http

// The settings object that an instance is given by the simulator's first message and by the
// platform's configuration, and the readers of JSON values that it and the wire are made of. No
// I/O, no decision.
//
// A value of another kind than expected raises BadValue with a plain message. Unknown keys are
// passed over; an absent or null optional key leaves what stands in the variable.
#pragma once

#include <simdjson.h>

#include <optional>
#include <stdexcept>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::settings_json {
using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

struct BadValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};
[[noreturn]] void bad(std::string_view what, std::string_view expected);

double as_number(element e, std::string_view what);
std::int64_t as_integer(element e, std::string_view what);
std::uint64_t as_unsigned(element e, std::string_view what);
std::string_view as_text(element e, std::string_view what);
bool as_bool(element e, std::string_view what);
array as_array(element e, std::string_view what);
object as_object(element e, std::string_view what);

element required(object o, std::string_view key);  // BadValue names the key where it is missing
std::optional<element> optional_key(object o, std::string_view key);
void read(object o, std::string_view key, double& into);
void read(object o, std::string_view key, int& into);
void read(object o, std::string_view key, bool& into);
void read(object o, std::string_view key, Micros& into);  // from whole microseconds

// Times in microseconds, rates a second. Whether the settings can work is for silverreach::check.
Settings read_settings(object o);

}  // namespace silverreach::settings_json

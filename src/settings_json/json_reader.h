// Typed readers of JSON values. Each throws ValueError if a value does not have the expected type;
// the caller passes the name that the error message shows. Unknown keys are ignored.
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::settings_json {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

// A JSON value is missing or is not as expected. what(): "NAME: expected EXPECTED".
struct ValueError : std::runtime_error {
    ValueError(std::string_view value_name, std::string_view expected_value);
    std::string name;
    std::string expected;
};

double as_number(element value, std::string_view name);
// Also accepts a floating-point number without a fraction, such as 3.0.
std::int64_t as_integer(element value, std::string_view name);
int as_int(element value, std::string_view name);  // as_integer, of the range of an int
Micros as_milliseconds(element value, std::string_view name);
std::uint64_t as_unsigned(element value, std::string_view name);
// The result is valid until the parser of the value parses another document or is destroyed.
std::string_view as_text(element value, std::string_view name);
bool as_bool(element value, std::string_view name);
array as_array(element value, std::string_view name);
object as_object(element value, std::string_view name);

// Throws ValueError if the key is absent.
element require_value(object parent, std::string_view key);
// Returns nullopt if the key is absent or null.
std::optional<element> find_value(object parent, std::string_view key);

// Reads an optional key; `target` keeps its value if the key is absent or null.
void read(object parent, std::string_view key, double& target);
void read(object parent, std::string_view key, int& target);
void read(object parent, std::string_view key, bool& target);
void read(object parent, std::string_view key, Micros& target);  // from an integer, in microseconds

}  // namespace silverreach::settings_json

#include "settings_json/json_reader.h"

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace silverreach::settings_json {
namespace {
// Below 2^62, so that the conversion from double to std::int64_t is exact.
constexpr double max_integer = 4e18;
// Its microseconds fit into 64 bits.
constexpr std::int64_t max_milliseconds = std::numeric_limits<std::int64_t>::max() / 1000;

template <class T>
T as(element value, std::string_view name, std::string_view expected) {
    T result{};
    if (value.get(result) != simdjson::SUCCESS) throw ValueError(name, expected);
    return result;
}
}  // namespace

ValueError::ValueError(std::string_view value_name, std::string_view expected_value)
    : std::runtime_error(std::string(value_name).append(": expected ").append(expected_value)),
      name(value_name),
      expected(expected_value) {}

double as_number(element value, std::string_view name) {
    return as<double>(value, name, "a number");
}

std::int64_t as_integer(element value, std::string_view name) {
    std::int64_t integer = 0;
    if (value.get(integer) == simdjson::SUCCESS) return integer;
    const double number = as_number(value, name);
    if (number != std::floor(number) || std::abs(number) > max_integer)
        throw ValueError(name, "an integer");
    return static_cast<std::int64_t>(number);
}

int as_int(element value, std::string_view name) {
    const std::int64_t integer = as_integer(value, name);
    if (!std::in_range<int>(integer)) throw ValueError(name, "an integer of 32 bits");
    return static_cast<int>(integer);
}

Micros as_milliseconds(element value, std::string_view name) {
    const std::int64_t milliseconds = as_integer(value, name);
    if (std::abs(milliseconds) > max_milliseconds)
        throw ValueError(name, "a number of milliseconds");
    return std::chrono::milliseconds(milliseconds);
}

std::uint64_t as_unsigned(element value, std::string_view name) {
    return as<std::uint64_t>(value, name, "a non-negative integer");
}

std::string_view as_text(element value, std::string_view name) {
    return as<std::string_view>(value, name, "text");
}

bool as_bool(element value, std::string_view name) {
    return as<bool>(value, name, "a boolean");
}

array as_array(element value, std::string_view name) {
    return as<array>(value, name, "an array");
}

object as_object(element value, std::string_view name) {
    return as<object>(value, name, "an object");
}

element require_value(object parent, std::string_view key) {
    element value;
    if (parent[key].get(value) != simdjson::SUCCESS)
        throw ValueError("key '" + std::string(key) + "' is missing", "a value");
    return value;
}

std::optional<element> find_value(object parent, std::string_view key) {
    element value;
    if (parent[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

void read(object parent, std::string_view key, double& target) {
    if (const auto value = find_value(parent, key)) target = as_number(*value, key);
}

void read(object parent, std::string_view key, int& target) {
    if (const auto value = find_value(parent, key)) target = as_int(*value, key);
}

void read(object parent, std::string_view key, bool& target) {
    if (const auto value = find_value(parent, key)) target = as_bool(*value, key);
}

void read(object parent, std::string_view key, Micros& target) {
    if (const auto value = find_value(parent, key)) target = Micros(as_integer(*value, key));
}

}  // namespace silverreach::settings_json

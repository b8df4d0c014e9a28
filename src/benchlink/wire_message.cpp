#include "wire_message.h"

#include "settings_json/json_reader.h"

namespace silverreach::benchlink {

using settings_json::ValueError;
using simdjson::dom::element;

void WireValues::append(element value) {
    if (count_ < max_value_count) values_[count_++] = value;
}

bool WireValues::has(const WireField& field) const {
    return field.position < count_ && !values_[field.position].is_null();
}

element WireValues::require_value(const WireField& field) const {
    if (field.position >= count_)
        throw ValueError(field.name, "a value, but the line is too short");
    return values_[field.position];
}

std::string_view WireValues::text(const WireField& field) const {
    return settings_json::as_text(require_value(field), field.name);
}

std::int64_t WireValues::integer(const WireField& field) const {
    return settings_json::as_integer(require_value(field), field.name);
}

std::uint64_t WireValues::unsigned_integer(const WireField& field) const {
    return settings_json::as_unsigned(require_value(field), field.name);
}

double WireValues::number(const WireField& field) const {
    return settings_json::as_number(require_value(field), field.name);
}

bool WireValues::boolean(const WireField& field) const {
    return settings_json::as_bool(require_value(field), field.name);
}

Micros WireValues::micros(const WireField& field) const {
    return Micros(integer(field));
}

simdjson::dom::array WireValues::array(const WireField& field) const {
    return settings_json::as_array(require_value(field), field.name);
}

simdjson::dom::object WireValues::object(const WireField& field) const {
    return settings_json::as_object(require_value(field), field.name);
}

WireMessage parse_wire_message(simdjson::dom::parser& parser, std::string& line) {
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    simdjson::dom::array items;
    if (parser.parse(line.data(), line.size(), false).get(items) != simdjson::SUCCESS)
        throw ValueError("malformed line", "one JSON array");
    WireMessage message;
    bool has_name = false;
    for (element item : items) {
        if (has_name)
            message.values.append(item);
        else
            message.name = settings_json::as_text(item, "message name");
        has_name = true;
    }
    if (!has_name) throw ValueError("malformed line", "a message name");
    return message;
}

}  // namespace silverreach::benchlink

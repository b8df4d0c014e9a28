// One incoming line of the wire protocol: a JSON array of the message's name and its values.
#pragma once

#include <simdjson.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "silverreach/interface.h"
#include "wire_names.h"

namespace silverreach::benchlink {

// The values of a message by position. Each typed reader throws settings_json::ValueError with the
// name of the field if the value is missing or has another type. Strings are valid until the parser
// parses the next line.
class WireValues {
  public:
    static constexpr std::size_t max_value_count = 20;

    void append(simdjson::dom::element value);  // ignores values beyond max_value_count
    // Returns false if the value is missing or null.
    bool has(const WireField& field) const;

    std::string_view text(const WireField& field) const;
    std::int64_t integer(const WireField& field) const;
    std::uint64_t unsigned_integer(const WireField& field) const;
    double number(const WireField& field) const;
    bool boolean(const WireField& field) const;
    Micros micros(const WireField& field) const;
    simdjson::dom::array array(const WireField& field) const;
    simdjson::dom::object object(const WireField& field) const;

  private:
    simdjson::dom::element require_value(const WireField& field) const;

    std::array<simdjson::dom::element, max_value_count> values_{};
    std::size_t count_ = 0;
};

struct WireMessage {
    std::string_view name;
    WireValues values;
};

// Throws settings_json::ValueError if the line is not a JSON array that begins with a string. May
// enlarge the capacity of `line`.
WireMessage parse_wire_message(simdjson::dom::parser& parser, std::string& line);

}  // namespace silverreach::benchlink

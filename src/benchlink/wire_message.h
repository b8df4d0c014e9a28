// One incoming line of the wire: a JSON array of the message's name and its values by position.
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

// Values by position. Each reader throws settings_json::ValueError, with the field's name, where
// the value is missing or of another kind. Texts are valid until the parser's next line.
class WireValues {
  public:
    static constexpr std::size_t max_count = 20;

    void append(simdjson::dom::element value);  // dropped beyond max_count
    // False where the value is missing or null.
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
    simdjson::dom::element required(const WireField& field) const;

    std::array<simdjson::dom::element, max_count> values_{};
    std::size_t count_ = 0;
};

struct WireMessage {
    std::string_view name;
    WireValues values;
};

// Throws settings_json::ValueError where the line is no JSON array that begins with a name. May
// enlarge the capacity of `line`.
WireMessage parse_wire_message(simdjson::dom::parser& parser, std::string& line);

}  // namespace silverreach::benchlink

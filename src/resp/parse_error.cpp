#include "resp/parse_error.h"

namespace silverreach::resp {

std::string_view to_string(ParseError error) {
    switch (error) {
        case ParseError::expected_array:
            return "expected an array of bulk strings";
        case ParseError::element_count_out_of_range:
            return "a number of words out of range";
        case ParseError::expected_bulk_string:
            return "expected a bulk string";
        case ParseError::length_out_of_range:
            return "a length out of range";
        case ParseError::length_mismatch:
            return "a length that does not fit";
        case ParseError::none:
            break;
    }
    return {};
}

}  // namespace silverreach::resp

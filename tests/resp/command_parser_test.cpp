// Tests commands with invalid lengths.
#include "resp/command_parser.h"

#include <gtest/gtest.h>

using namespace silverreach::resp;

namespace {
ParseStatus parse_once(const std::string& bytes) {
    return CommandParser().parse(bytes);
}
}  // namespace

TEST(CommandParser, ChecksALengthAtItsOwnHeader) {
    for (const char* malformed :
         {"*0\r\n", "*-1\r\n", "*9\r\n", "*9999999999999", "*1x\r\n", "*1\rx", "x", "\n",
          "PING\r\n", "*1\r\n$-1\r\n", "*1\r\n$65537\r\n", "*1\r\n$60000000\r\n",
          "*1\r\n$4294967300\r\n", "*1\r\n$99999999999999999999", "*1\r\n+PING\r\n",
          "*1\r\n$4\r\nPINGx", "*1\r\n$4\r\nPING\rx"})
        EXPECT_EQ(parse_once(malformed), ParseStatus::malformed) << malformed;
    EXPECT_EQ(parse_once("*2\r\n$65536\r\n"), ParseStatus::incomplete);
    // Two values, each within its own limit, exceed the limit of a command.
    const std::string first = "*2\r\n$65536\r\n" + std::string(65536, 'a') + "\r\n";
    EXPECT_EQ(parse_once(first + "$4096\r\n"), ParseStatus::malformed);
    EXPECT_EQ(parse_once(first + "$16\r\n"), ParseStatus::incomplete);
}

TEST(CommandParser, ReportsItsError) {
    const auto error_of = [](const std::string& bytes) {
        CommandParser parser;
        EXPECT_EQ(parser.parse(bytes), ParseStatus::malformed) << bytes;
        EXPECT_EQ(parser.parse(bytes), ParseStatus::malformed)
            << "the parser stays in the malformed state: " << bytes;
        return parser.error();
    };
    EXPECT_EQ(error_of("PING\r\n"), ParseError::expected_array);
    EXPECT_EQ(error_of("*9\r\n"), ParseError::element_count_out_of_range);
    EXPECT_EQ(error_of("*1\r\n+PING\r\n"), ParseError::expected_bulk_string);
    EXPECT_EQ(error_of("*1\r\n$65537\r\n"), ParseError::length_out_of_range);
    EXPECT_EQ(error_of("*1\r\n$4\r\nPINGx"), ParseError::length_mismatch);
}

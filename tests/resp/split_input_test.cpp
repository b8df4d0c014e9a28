// Tests that both parsers give the same result for every split of valid and random input.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "resp/command_parser.h"
#include "resp/reply_parser.h"
#include "resp/serializer.h"
#include "tests/resp/feed.h"

using namespace silverreach::resp;
using resp_test::feed_byte_by_byte;

namespace {
std::string command_of(const std::vector<std::string>& arguments) {
    std::string out;
    append_array(out, arguments.size());
    for (const auto& argument : arguments)
        append_bulk(out, argument);
    return out;
}
}  // namespace

TEST(CommandParser, ParsesTheSameForEverySplit) {
    EXPECT_TRUE(rc::check([] {
        std::vector<std::string> arguments(*rc::gen::inRange<std::size_t>(1, 9));
        for (auto& argument : arguments)
            argument = *rc::gen::arbitrary<std::string>();
        const std::string bytes = command_of(arguments);
        const std::string all = bytes + "*1\r\n";
        const auto split = *rc::gen::inRange<std::size_t>(0, bytes.size());
        CommandParser parser;
        RC_ASSERT(parser.parse(std::string_view(all).substr(0, split)) == ParseStatus::incomplete);
        RC_ASSERT(parser.parse(all) == ParseStatus::complete);
        RC_ASSERT(parser.consumed() == bytes.size());
        RC_ASSERT(parser.argument_count() == arguments.size());
        for (std::size_t i = 0; i < arguments.size(); ++i)
            RC_ASSERT(parser.argument(all, i) == arguments[i]);
        CommandParser bytewise_parser;
        const auto [status, consumed] = feed_byte_by_byte(bytewise_parser, bytes);
        RC_ASSERT(status == ParseStatus::complete);
        RC_ASSERT(consumed == bytes.size());
    }));
}

TEST(CommandParser, ParsesNoiseTheSameForEverySplit) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::container<std::string>(
            rc::gen::element('*', '$', '-', '+', ':', '0', '1', '3', '\r', '\n', 'a', '\0'));
        CommandParser complete_parser;
        CommandParser bytewise_parser;
        const ParseStatus status = complete_parser.parse(bytes);
        const auto [bytewise_status, consumed] = feed_byte_by_byte(bytewise_parser, bytes);
        RC_ASSERT(status == bytewise_status);
        if (status == ParseStatus::complete) RC_ASSERT(complete_parser.consumed() == consumed);
        ReplyParser complete_reply_parser;
        ReplyParser bytewise_reply_parser;
        RC_ASSERT(complete_reply_parser.parse(bytes) ==
                  feed_byte_by_byte(bytewise_reply_parser, bytes).status);
    }));
}

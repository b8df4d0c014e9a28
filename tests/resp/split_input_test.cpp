// Both parsers against every split of their input, and against noise.
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
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        CommandParser parser;
        RC_ASSERT(parser.parse(std::string_view(all).substr(0, cut)) == ParseStatus::incomplete);
        RC_ASSERT(parser.parse(all) == ParseStatus::complete);
        RC_ASSERT(parser.consumed() == bytes.size());
        RC_ASSERT(parser.argument_count() == arguments.size());
        for (std::size_t i = 0; i < arguments.size(); ++i)
            RC_ASSERT(parser.argument(all, i) == arguments[i]);
        CommandParser slow;
        const auto [status, fed] = feed_byte_by_byte(slow, bytes);
        RC_ASSERT(status == ParseStatus::complete);
        RC_ASSERT(fed == bytes.size());
    }));
}

TEST(CommandParser, NoiseParsesTheSameForEverySplit) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::container<std::string>(
            rc::gen::element('*', '$', '-', '+', ':', '0', '1', '3', '\r', '\n', 'a', '\0'));
        CommandParser at_once;
        CommandParser slow;
        const ParseStatus status = at_once.parse(bytes);
        const auto [slow_status, fed] = feed_byte_by_byte(slow, bytes);
        RC_ASSERT(status == slow_status);
        if (status == ParseStatus::complete) RC_ASSERT(at_once.consumed() == fed);
        ReplyParser reply_at_once;
        ReplyParser slow_reply;
        RC_ASSERT(reply_at_once.parse(bytes) == feed_byte_by_byte(slow_reply, bytes).status);
    }));
}

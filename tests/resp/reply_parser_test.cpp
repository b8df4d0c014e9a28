// Tests replies of each type and malformed replies.
#include "resp/reply_parser.h"

#include <gtest/gtest.h>

using namespace silverreach::resp;

namespace {
ParseStatus parse_once(const std::string& bytes) {
    return ReplyParser().parse(bytes);
}
}  // namespace

TEST(ReplyParser, ParsesEachType) {
    ReplyParser parser;
    ASSERT_EQ(parser.parse("*3\r\n$2\r\nok\r\n$-1\r\n$7\r\nqueue=2\r\n"), ParseStatus::complete);
    const Reply reply = parser.take();
    ASSERT_EQ(reply.elements.size(), 3u);
    EXPECT_EQ(reply.elements[0].text, "ok");
    EXPECT_EQ(reply.elements[1].type, ReplyType::null);
    EXPECT_EQ(reply.elements[2].text, "queue=2");
    parser.reset();
    ASSERT_EQ(parser.parse("-BUSY\r\nmore"), ParseStatus::complete);
    EXPECT_EQ(parser.consumed(), 7u);
    EXPECT_EQ(parser.take().text, "BUSY");
}

TEST(ReplyParser, RejectsMalformedRepliesBeforeTheyAreComplete) {
    for (const char* malformed :
         {"!", "$3000000000\r\n", "$-2\r\n", "*3\r\n$3000000000\r\n", "*3\r\n*1\r\n", "*-1\r\n",
          "*3\r\n$2\r\nokay\r\n", "+a\nb\r\n", "*70000\r\n"})
        EXPECT_EQ(parse_once(malformed), ParseStatus::malformed) << malformed;
    EXPECT_EQ(parse_once("+" + std::string(10000, 'x')), ParseStatus::malformed)
        << "a line that exceeds its limit";
    EXPECT_EQ(parse_once("+" + std::string(100, 'x')), ParseStatus::incomplete);
}

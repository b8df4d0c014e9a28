// The codec against every split of its input, against lengths that lie and against noise.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "resp/command.h"
#include "resp/reply.h"

using namespace silverreach::resp;

namespace {
std::string command(const std::vector<std::string>& words) {
    std::string out;
    append_array(out, words.size());
    for (const auto& w : words)
        append_bulk(out, w);
    return out;
}
// Feeds byte by byte; how it ended, and after how many bytes.
template <typename Reader>
std::pair<Got, std::size_t> feed(Reader& reader, const std::string& bytes) {
    for (std::size_t n = 1; n <= bytes.size(); ++n)
        if (const Got got = reader.look(std::string_view(bytes).substr(0, n)); got != Got::more)
            return {got, n};
    return {Got::more, bytes.size()};
}
Got at_once(const std::string& bytes) {
    return CommandReader().look(bytes);
}
Got reply_at_once(const std::string& bytes) {
    return ReplyReader().look(bytes);
}
}  // namespace

TEST(RespCommand, ComesOutTheSameHoweverItIsCut) {
    EXPECT_TRUE(rc::check([] {
        std::vector<std::string> words(*rc::gen::inRange<std::size_t>(1, 9));
        for (auto& w : words)
            w = *rc::gen::arbitrary<std::string>();
        const std::string bytes = command(words), all = bytes + "*1\r\n";
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        CommandReader reader;
        RC_ASSERT(reader.look(std::string_view(all).substr(0, cut)) == Got::more);
        RC_ASSERT(reader.look(all) == Got::whole);
        RC_ASSERT(reader.size() == bytes.size());
        RC_ASSERT(reader.words() == words.size());
        for (std::size_t i = 0; i < words.size(); ++i)
            RC_ASSERT(reader.word(all, i) == words[i]);
        CommandReader slow;
        RC_ASSERT(feed(slow, bytes) == std::make_pair(Got::whole, bytes.size()));
    }));
}

TEST(RespCommand, NoiseIsNeverHeldBeyondItsLimitsAndReadsAlikeHoweverItIsCut) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::container<std::string>(
            rc::gen::element('*', '$', '-', '+', ':', '0', '1', '3', '\r', '\n', 'a', '\0'));
        CommandReader fast, slow;
        const Got whole = fast.look(bytes);
        const auto [bit, n] = feed(slow, bytes);
        RC_ASSERT(whole == bit);
        if (whole == Got::whole) RC_ASSERT(fast.size() == n);
        ReplyReader fast_reply, slow_reply;
        RC_ASSERT(fast_reply.look(bytes) == feed(slow_reply, bytes).first);
    }));
}

TEST(RespCommand, ALengthIsJudgedAtItsLine) {
    for (const char* bad :
         {"*0\r\n", "*-1\r\n", "*9\r\n", "*9999999999999", "*1x\r\n", "*1\rx", "x", "\n",
          "PING\r\n", "*1\r\n$-1\r\n", "*1\r\n$65537\r\n", "*1\r\n$60000000\r\n",
          "*1\r\n$4294967300\r\n", "*1\r\n$99999999999999999999", "*1\r\n+PING\r\n",
          "*1\r\n$4\r\nPINGx", "*1\r\n$4\r\nPING\rx"})
        EXPECT_EQ(at_once(bad), Got::broken) << bad;
    EXPECT_EQ(at_once("*2\r\n$65536\r\n"), Got::more);
    // Two values that are each within their limit are not within that of a command.
    const std::string first = "*2\r\n$65536\r\n" + std::string(65536, 'a') + "\r\n";
    EXPECT_EQ(at_once(first + "$4096\r\n"), Got::broken);
    EXPECT_EQ(at_once(first + "$16\r\n"), Got::more);
}

TEST(RespReply, KindsAndForms) {
    ReplyReader r;
    ASSERT_EQ(r.look("*3\r\n$2\r\nok\r\n$-1\r\n$7\r\nqueue=2\r\n"), Got::whole);
    const Reply reply = r.take();
    ASSERT_EQ(reply.items.size(), 3u);
    EXPECT_EQ(reply.items[0].text, "ok");
    EXPECT_EQ(reply.items[1].kind, Kind::null);
    EXPECT_EQ(reply.items[2].text, "queue=2");
    r.next();
    ASSERT_EQ(r.look("-BUSY\r\nmore"), Got::whole);
    EXPECT_EQ(r.size(), 7u);
    EXPECT_EQ(r.take().text, "BUSY");
}

TEST(RespReply, WhatIsSpoiltIsBrokenBeforeItIsWaitedFor) {
    for (const char* bad :
         {"!", "$3000000000\r\n", "$-2\r\n", "*3\r\n$3000000000\r\n", "*3\r\n*1\r\n", "*-1\r\n",
          "*3\r\n$2\r\nokay\r\n", "+a\nb\r\n", "*70000\r\n"})
        EXPECT_EQ(reply_at_once(bad), Got::broken) << bad;
    EXPECT_EQ(reply_at_once("+" + std::string(10000, 'x')), Got::broken) << "a line without end";
    EXPECT_EQ(reply_at_once("+" + std::string(100, 'x')), Got::more);
}

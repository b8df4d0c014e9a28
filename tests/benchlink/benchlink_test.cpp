#include <gtest/gtest.h>

#include "base64.h"
#include "link.h"

using namespace silverreach::benchlink;

namespace {
const std::string config =
    R"({"rank":0,"instances":1,"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":2000000,)"
    R"("promiseUs":800000,"value":1}],"ceilings":{"maxAttempts":2},"guarantees":{"startCapacity":0.2},"tickUs":4000,)"
    R"("tiersOfService":[{"name":"basic","rate":1,"mostAtOnce":2}],"unknownKey":[1,{"a":2}]})";

// Feeds lines, returns everything replied.
std::string feed(Link& link, std::initializer_list<std::string> lines) {
    std::string out;
    for (std::string line : lines)
        link.take_line(line, out);
    return out;
}
std::string error_of(std::initializer_list<std::string> lines) {
    Link link;
    try {
        feed(link, lines);
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}
std::string attach() {
    return R"(["Attach",0,18446744073709551615,)" + config + "]";
}
const std::string hosts = R"(["Directory",0,[["h:1","z","k",0,"U",1,null]]])";
const std::string sync_line = R"(["Sync",0,"restored",1,0])";
const std::string request = R"(["NewRequest",0,7,1,0,1500000,"key:a",0,"basic","read",1])";
}  // namespace

TEST(Benchlink, EmptyBatch) {
    Link link;
    EXPECT_EQ(feed(link, {R"(["Turn",5])", R"(["EofBatch"])"}), "[\"End\"]\n");
}

TEST(Benchlink, SendsARequestAndSkipsWhatItDoesNotKnow) {
    Link link;
    const std::string out =
        feed(link, {R"(["Turn",5])", attach(), hosts, sync_line, R"(["Novelty",0,{"x":1}])",
                    R"(["TallyBack",0,"x","GOOD",1,2])", request, R"(["EofBatch"])"});
    EXPECT_NE(out.find(R"(["Send",0,7,"h:1",1500000])"), std::string::npos) << out;
    EXPECT_EQ(out.substr(out.size() - 8), "[\"End\"]\n");
}

TEST(Benchlink, NothingComesFromADestroyedInstance) {
    Link link;
    feed(link, {R"(["Turn",5])", attach(), hosts, sync_line, R"(["EofBatch"])"});
    EXPECT_EQ(feed(link, {R"(["Turn",6])", R"(["Destroy",0])", request, R"(["EofBatch"])"}),
              "[\"End\"]\n");
}

TEST(Benchlink, MalformedInputIsNamedByLine) {
    EXPECT_NE(error_of({R"(["Turn",5])", "{nonsense"})
                  .find("line 2: malformed line: expected one JSON array"),
              std::string::npos);
    EXPECT_NE(error_of({R"(["Turn","x"])"}).find("clock: expected a number"), std::string::npos);
    EXPECT_NE(error_of({R"(["Turn",5])", attach(), R"(["Sync",0,"replace",1,3])"})
                  .find("a list that a Directory declared"),
              std::string::npos);
    EXPECT_NE(
        error_of({R"(["Turn",5])", R"(["Attach",0,1,{"rank":0}])"}).find("'instances' is missing"),
        std::string::npos);
    EXPECT_NE(error_of({R"(["Turn",5])", attach(), R"(["NewRequest",0,7])"}).find("line 3"),
              std::string::npos);
    EXPECT_NE(error_of({R"(["Turn",5])", attach(), R"(["Returned",0,7,0,"h:1","ODD",1,true])"})
                  .find("status: expected"),
              std::string::npos);
    EXPECT_NE(error_of({R"(["EofBatch"])"}).find("a Turn line first"), std::string::npos);
    EXPECT_NE(error_of({R"(["Turn",5])", R"(["Turn",4])"}).find("does not go back"),
              std::string::npos);
}

TEST(Benchlink, Base64) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        std::string coded;
        append_base64(coded, text);
        EXPECT_EQ(coded.size() % 4, 0u);
        EXPECT_EQ(from_base64(coded), text);
    }
    std::string coded;
    append_base64(coded, "hi 7");
    EXPECT_EQ(coded, "aGkgNw==");
    for (const std::string bent : {"a", "ab=c", "a===", "a-b=", "===="})
        EXPECT_FALSE(from_base64(bent)) << bent;
}

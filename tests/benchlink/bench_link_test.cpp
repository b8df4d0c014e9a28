#include "bench_link.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

using namespace silverreach::benchlink;

namespace {
const std::string settings =
    R"({"rank":0,"instances":1,"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":2000000,)"
    R"("promiseUs":800000,"value":1}],"ceilings":{"maxAttempts":2},"guarantees":{"startCapacity":0.2},"tickUs":4000,)"
    R"("tiersOfService":[{"name":"basic","rate":1,"mostAtOnce":2}],"unknownKey":[1,{"a":2}]})";

// Passes the lines to the link and returns all replies.
std::string handle_lines(BenchLink& link, std::initializer_list<std::string> lines) {
    std::string reply;
    for (std::string line : lines)
        link.handle_line(line, reply);
    return reply;
}
std::string error_text(std::initializer_list<std::string> lines) {
    BenchLink link;
    try {
        handle_lines(link, lines);
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}
const std::string start_instance = R"(["Attach",0,18446744073709551615,)" + settings + "]";
const std::string endpoint_list = R"(["Directory",0,[["h:1","z","k",0,"U",1,null]]])";
const std::string endpoints_changed = R"(["Sync",0,"restored",1,0])";
const std::string request = R"(["NewRequest",0,7,1,0,1500000,"key:a",0,"basic","read",1])";
}  // namespace

TEST(BenchLink, EmptyBatchGetsAnEmptyReply) {
    BenchLink link;
    EXPECT_EQ(handle_lines(link, {R"(["Turn",5])", R"(["EofBatch"])"}), "[\"End\"]\n");
}

TEST(BenchLink, SendsARequestAndIgnoresUnknownMessages) {
    BenchLink link;
    const std::string reply =
        handle_lines(link, {R"(["Turn",5])", start_instance, endpoint_list, endpoints_changed,
                            R"(["Novelty",0,{"x":1}])", R"(["TallyBack",0,"x","GOOD",1,2])",
                            request, R"(["EofBatch"])"});
    EXPECT_NE(reply.find(R"(["Send",0,7,"h:1",1500000])"), std::string::npos) << reply;
    EXPECT_EQ(reply.substr(reply.size() - 8), "[\"End\"]\n");
}

TEST(BenchLink, StoppedInstanceYieldsNoActions) {
    BenchLink link;
    handle_lines(link, {R"(["Turn",5])", start_instance, endpoint_list, endpoints_changed,
                        R"(["EofBatch"])"});
    EXPECT_EQ(handle_lines(link, {R"(["Turn",6])", R"(["Destroy",0])", request, R"(["EofBatch"])"}),
              "[\"End\"]\n");
}

TEST(BenchLink, ErrorNamesLineAndProblem) {
    EXPECT_NE(error_text({R"(["Turn",5])", "{nonsense"})
                  .find("line 2: malformed line: expected one JSON array"),
              std::string::npos);
    EXPECT_NE(error_text({R"(["Turn","x"])"}).find("clock: expected a number"), std::string::npos);
    EXPECT_NE(error_text({R"(["Turn",5])", start_instance, R"(["Sync",0,"replace",1,3])"})
                  .find("a list that a Directory message defined"),
              std::string::npos);
    EXPECT_NE(error_text({R"(["Turn",5])", R"(["Attach",0,1,{"rank":0}])"})
                  .find("key 'instances' is missing"),
              std::string::npos);
    EXPECT_NE(error_text({R"(["Turn",5])", start_instance, R"(["NewRequest",0,7])"}).find("line 3"),
              std::string::npos);
    EXPECT_NE(
        error_text({R"(["Turn",5])", start_instance, R"(["Returned",0,7,0,"h:1","ODD",1,true])"})
            .find("status: expected"),
        std::string::npos);
    EXPECT_NE(error_text({R"(["EofBatch"])"}).find("a Turn line at the start of the batch"),
              std::string::npos);
    EXPECT_NE(error_text({R"(["Turn",5])", R"(["Turn",4])"})
                  .find("a time that is not before the previous batch"),
              std::string::npos);
}

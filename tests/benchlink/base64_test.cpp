#include "base64.h"

#include <gtest/gtest.h>

#include <string>

using namespace silverreach::benchlink;

TEST(Base64, DecodesWhatItEncodesAndRejectsMalformedText) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        std::string encoded;
        append_base64(encoded, text);
        EXPECT_EQ(encoded.size() % 4, 0u);
        EXPECT_EQ(decode_base64(encoded), text);
    }
    std::string encoded;
    append_base64(encoded, "hi 7");
    EXPECT_EQ(encoded, "aGkgNw==");
    for (const std::string malformed : {"a", "ab=c", "a===", "a-b=", "===="})
        EXPECT_FALSE(decode_base64(malformed)) << malformed;
}

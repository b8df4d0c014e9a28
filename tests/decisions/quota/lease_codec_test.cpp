#include "decisions/quota/lease_codec.h"

#include <gtest/gtest.h>

#include <random>

using namespace silverreach;

TEST(LeaseCodec, DecodesEncodedMessages) {
    const LeaseRequest request{
        77, 0xFFFFFFFF, 3, 512, 511, 1.01, 2, 0.5, 20'000, 3.49, 5 * standing_share_step};
    const LeaseGrant grant{78, 2.99, 1, 1500, 40.5, 1, 500};
    const auto messages = decode(encode({request, grant}));
    ASSERT_TRUE(messages);
    ASSERT_EQ(messages->size(), 2u);
    const auto& decoded_request = std::get<LeaseRequest>(messages->at(0));
    EXPECT_EQ(decoded_request.nonce, 77u);
    EXPECT_EQ(decoded_request.customer_hash, 0xFFFFFFFFu);
    EXPECT_EQ(decoded_request.plan, 3);
    EXPECT_EQ(decoded_request.subset_size, 512);
    EXPECT_EQ(decoded_request.subset_start, 511);
    EXPECT_EQ(decoded_request.required_units, 1.0625);  // required units are rounded up
    EXPECT_EQ(decoded_request.extra_units, 2);
    EXPECT_EQ(decoded_request.ceiling_units, 0.5);
    EXPECT_NEAR(decoded_request.demand_rate, 20'000,
                20'000 / 2048.0);  // large amounts are rounded up to 12 significant bits
    EXPECT_GE(decoded_request.demand_rate, 20'000);
    EXPECT_EQ(decoded_request.returned_units, 3.4375);  // returned units are rounded down
    EXPECT_NEAR(decoded_request.standing_share, 5 * standing_share_step,
                standing_share_step / 1000);
    const auto& decoded_grant = std::get<LeaseGrant>(messages->at(1));
    EXPECT_EQ(decoded_grant.nonce, 78u);
    EXPECT_EQ(decoded_grant.units, 2.9375);
    EXPECT_EQ(decoded_grant.ceiling_units, 1);
    EXPECT_EQ(decoded_grant.wait_ms, 1500u);
    EXPECT_EQ(decoded_grant.demand_rate, 40.5);
    EXPECT_EQ(decoded_grant.standing_share, 1);
    EXPECT_EQ(decoded_grant.holder_count, 500);
}

TEST(LeaseCodec, FullDatagramStaysWithinTheSizeLimit) {
    const std::string bytes =
        encode(std::vector<PeerMessage>(max_messages_per_datagram + 3, LeaseRequest{}));
    EXPECT_LE(bytes.size(), max_datagram_bytes);
    ASSERT_TRUE(decode(bytes));
    EXPECT_EQ(decode(bytes)->size(), max_messages_per_datagram);
}

TEST(LeaseCodec, RejectsTruncatedCorruptedAndRandomBytes) {
    std::mt19937_64 random(5);
    const std::string valid_bytes = encode({LeaseRequest{}, LeaseGrant{}});
    for (std::size_t length = 0; length < valid_bytes.size(); ++length)
        EXPECT_FALSE(decode(valid_bytes.substr(0, length)));
    EXPECT_FALSE(decode(std::string(300, 'x')));
    for (std::size_t i = 0; i < valid_bytes.size(); ++i) {
        std::string corrupted_bytes = valid_bytes;
        corrupted_bytes[i] = static_cast<char>(corrupted_bytes[i] ^ 0x20);
        EXPECT_FALSE(decode(corrupted_bytes)) << i;
    }
    int accepted_count = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bytes(random() % 257, ' ');
        for (char& byte : bytes)
            byte = static_cast<char>(random());
        accepted_count += decode(bytes).has_value();
    }
    EXPECT_EQ(accepted_count, 0);
}

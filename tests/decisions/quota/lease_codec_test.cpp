#include "decisions/quota/lease_codec.h"

#include <gtest/gtest.h>

#include <random>

using namespace silverreach;

TEST(LeaseCodec, DecodesWhatItEncoded) {
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
    EXPECT_EQ(decoded_request.required_units, 1.0625);  // requests are rounded up, grants down
    EXPECT_EQ(decoded_request.extra_units, 2);
    EXPECT_EQ(decoded_request.ceiling_units, 0.5);
    EXPECT_NEAR(decoded_request.demand_rate, 20'000,
                20'000 / 2048.0);  // large amounts lose their last digits, upwards
    EXPECT_GE(decoded_request.demand_rate, 20'000);
    EXPECT_EQ(decoded_request.returned_units, 3.4375);  // returned units: down
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

TEST(LeaseCodec, AFullDatagramFits) {
    const std::string bytes =
        encode(std::vector<PeerMessage>(max_messages_per_datagram + 3, LeaseRequest{}));
    EXPECT_LE(bytes.size(), max_datagram_bytes);
    ASSERT_TRUE(decode(bytes));
    EXPECT_EQ(decode(bytes)->size(), max_messages_per_datagram);
}

TEST(LeaseCodec, RejectsForeignBytes) {
    std::mt19937_64 random(5);
    const std::string good = encode({LeaseRequest{}, LeaseGrant{}});
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        EXPECT_FALSE(decode(good.substr(0, cut)));
    EXPECT_FALSE(decode(std::string(300, 'x')));
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bent = good;
        bent[i] = static_cast<char>(bent[i] ^ 0x20);
        EXPECT_FALSE(decode(bent)) << i;
    }
    int taken = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bytes(random() % 257, ' ');
        for (char& b : bytes)
            b = static_cast<char>(random());
        taken += decode(bytes).has_value();
    }
    EXPECT_EQ(taken, 0);
}

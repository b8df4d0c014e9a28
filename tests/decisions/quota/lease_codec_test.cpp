#include <gtest/gtest.h>

#include <random>

#include "decisions/quota/lease_codec.h"

using namespace silverreach;

TEST(PeerMessage, GoesAndComesBack) {
    const LeaseRequest ask{
        77, 0xFFFFFFFF, 3, 512, 511, 1.01, 2, 0.5, 20'000, 3.49, 5 * standing_share_step};
    const LeaseGrant given{78, 2.99, 1, 1500, 40.5, 1, 500};
    const auto back = decode(encode({ask, given}));
    ASSERT_TRUE(back);
    ASSERT_EQ(back->size(), 2u);
    const LeaseRequest& a = std::get<LeaseRequest>(back->at(0));
    EXPECT_EQ(a.nonce, 77u);
    EXPECT_EQ(a.customer_hash, 0xFFFFFFFFu);
    EXPECT_EQ(a.plan, 3);
    EXPECT_EQ(a.subset_size, 512);
    EXPECT_EQ(a.subset_start, 511);
    EXPECT_EQ(a.required_units, 1.0625);  // asks are rounded up, parts given down
    EXPECT_EQ(a.extra_units, 2);
    EXPECT_EQ(a.ceiling_units, 0.5);
    EXPECT_NEAR(a.demand_rate, 20'000,
                20'000 / 2048.0);  // large amounts lose their last digits, upwards
    EXPECT_GE(a.demand_rate, 20'000);
    EXPECT_EQ(a.returned_units, 3.4375);  // given back: down
    EXPECT_NEAR(a.standing_share, 5 * standing_share_step, standing_share_step / 1000);
    const LeaseGrant& g = std::get<LeaseGrant>(back->at(1));
    EXPECT_EQ(g.nonce, 78u);
    EXPECT_EQ(g.units, 2.9375);
    EXPECT_EQ(g.ceiling_units, 1);
    EXPECT_EQ(g.wait_ms, 1500u);
    EXPECT_EQ(g.demand_rate, 40.5);
    EXPECT_EQ(g.standing_share, 1);
    EXPECT_EQ(g.holder_count, 500);
}

TEST(PeerMessage, AFullOneFits) {
    const std::string bytes =
        encode(std::vector<PeerMessage>(max_messages_per_datagram + 3, LeaseRequest{}));
    EXPECT_LE(bytes.size(), max_message_bytes);
    ASSERT_TRUE(decode(bytes));
    EXPECT_EQ(decode(bytes)->size(), max_messages_per_datagram);
}

TEST(PeerMessage, ForeignBytesAreDropped) {
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

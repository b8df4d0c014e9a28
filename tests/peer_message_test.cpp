#include "peer_message.h"

#include <gtest/gtest.h>

#include <random>

using namespace silverreach;

TEST(PeerMessage, GoesAndComesBack) {
    PeerNews news{77, 65535, {{1, 16}, {0xFFFFFFFF, total_modulus - 1}}, {{9, 255}}};
    const auto back = unpack(pack(news));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->life, 77u);
    EXPECT_EQ(back->sequence, 65535);
    ASSERT_EQ(back->uses.size(), 2u);
    EXPECT_EQ(back->uses[1].customer, 0xFFFFFFFFu);
    EXPECT_EQ(back->uses[1].total, total_modulus - 1);
    ASSERT_EQ(back->hosts.size(), 1u);
    EXPECT_EQ(back->hosts[0].count, 255);
}

TEST(PeerMessage, AFullOneFits) {
    PeerNews news;
    news.hosts.resize(40);
    news.uses.resize(uses_that_fit(40));
    EXPECT_GT(news.uses.size(), 10u);
    EXPECT_LE(pack(news).size(), max_message_bytes);
}

TEST(PeerMessage, ForeignBytesAreDropped) {
    std::mt19937_64 random(5);
    const std::string good = pack(PeerNews{1, 2, {{3, 4}}, {{5, 6}}});
    for (std::size_t cut = 0; cut < good.size(); ++cut) EXPECT_FALSE(unpack(good.substr(0, cut)));
    EXPECT_FALSE(unpack(std::string(300, 'x')));
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bent = good;
        bent[i] = static_cast<char>(bent[i] ^ 0x20);
        EXPECT_FALSE(unpack(bent)) << i;
    }
    int taken = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bytes(random() % 257, ' ');
        for (char& b : bytes) b = static_cast<char>(random());
        taken += unpack(bytes).has_value();
    }
    EXPECT_EQ(taken, 0);
}

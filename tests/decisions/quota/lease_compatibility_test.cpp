// Instances of different versions exchange leases. Messages recorded from an earlier release must
// decode to the same fields, and the same fields must encode to the same bytes.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "decisions/quota/lease_codec.h"

using namespace silverreach;

namespace {

std::string from_hex(std::string_view hex_digits) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex_digits.size(); i += 2)
        bytes.push_back(
            static_cast<char>(std::stoi(std::string(hex_digits.substr(i, 2)), nullptr, 16)));
    return bytes;
}

void expect_equal(const PeerMessage& actual, const LeaseRequest& expected) {
    ASSERT_TRUE(std::holds_alternative<LeaseRequest>(actual));
    const auto& request = std::get<LeaseRequest>(actual);
    EXPECT_EQ(request.nonce, expected.nonce);
    EXPECT_EQ(request.customer_hash, expected.customer_hash);
    EXPECT_EQ(request.plan, expected.plan);
    EXPECT_EQ(request.subset_size, expected.subset_size);
    EXPECT_EQ(request.subset_start, expected.subset_start);
    EXPECT_EQ(request.required_units, expected.required_units);
    EXPECT_EQ(request.extra_units, expected.extra_units);
    EXPECT_EQ(request.ceiling_units, expected.ceiling_units);
    EXPECT_EQ(request.demand_rate, expected.demand_rate);
    EXPECT_EQ(request.returned_units, expected.returned_units);
    EXPECT_EQ(request.standing_share, expected.standing_share);
}

void expect_equal(const PeerMessage& actual, const LeaseGrant& expected) {
    ASSERT_TRUE(std::holds_alternative<LeaseGrant>(actual));
    const auto& grant = std::get<LeaseGrant>(actual);
    EXPECT_EQ(grant.nonce, expected.nonce);
    EXPECT_EQ(grant.units, expected.units);
    EXPECT_EQ(grant.ceiling_units, expected.ceiling_units);
    EXPECT_EQ(grant.wait_ms, expected.wait_ms);
    EXPECT_EQ(grant.demand_rate, expected.demand_rate);
    EXPECT_EQ(grant.standing_share, expected.standing_share);
    EXPECT_EQ(grant.holder_count, expected.holder_count);
}

// Expects that `sent` encodes to the recorded datagram, that the datagram decodes to `received`,
// and that the decoded message encodes to the same datagram.
template <typename Message>
void expect_compatible(std::string_view recorded, const Message& sent, const Message& received) {
    const std::string bytes = from_hex(recorded);
    EXPECT_EQ(encode({sent}), bytes);
    const auto messages = decode(bytes);
    ASSERT_TRUE(messages);
    ASSERT_EQ(messages->size(), 1U);
    expect_equal(messages->front(), received);
    EXPECT_EQ(encode(*messages), bytes);
}

}  // namespace

TEST(LeaseCompatibility, Request) {
    expect_compatible("a9010503020194d4660e03c80005021100e8030800b707370000405dcd",
                      LeaseRequest{0x01020305, hash_name("wetland-count-7"), 3, 200, 517, 1.01,
                                   62.5, 0.5, 123.4375, 3.49, 0.25},
                      LeaseRequest{0x01020305, 241620116, 3, 200, 517, 1.0625, 62.5, 0.5, 123.4375,
                                   3.4375, 0.25000381475547417});
}

TEST(LeaseCompatibility, RequestOfLargeAmounts) {
    expect_compatible("a901ffffffffc59d1c81ffffffffff6119c479ffff43cf0058ffffa0c2",
                      LeaseRequest{0xFFFFFFFF, hash_name(""), 255, 65535, 65535, 300.03, 20000, 9e6,
                                   1e6, 4097.9, 1},
                      LeaseRequest{0xFFFFFFFF, 2166136261, 255, 65535, 65535, 300.125, 20000,
                                   8386560, 1000192, 4096, 1});
}

TEST(LeaseCompatibility, Grant) {
    expect_compatible("a90205030201f80308000000a539ea740c00aa6c",
                      LeaseGrant{0x01020305, 63.51, 0.5, 0, 1234.5, 0.4567, 12},
                      LeaseGrant{0x01020305, 63.5, 0.5, 0, 1234.5, 0.45670252536812389, 12});
}

TEST(LeaseCompatibility, EmptyGrant) {
    expect_compatible("a9020700000000000000ffff880200000000a95b",
                      LeaseGrant{7, 0, 0, 99999, 40.5, 0, 0},
                      LeaseGrant{7, 0, 0, 65535, 40.5, 0, 0});
}

TEST(LeaseCompatibility, SeveralMessagesInOneDatagram) {
    const std::string bytes = from_hex(
        "a9010b0000002c290ce40002000100100020000000400000000000020900000020000000fa00800066e60200"
        "010d000000e52d0ce70103000000000000000000010000010500b58d");
    const auto messages = decode(bytes);
    ASSERT_TRUE(messages);
    ASSERT_EQ(messages->size(), 3U);
    expect_equal((*messages)[0], LeaseRequest{11, hash_name("a"), 0, 2, 1, 1, 2, 0, 4, 0, 0});
    expect_equal((*messages)[1], LeaseGrant{9, 2, 0, 250, 8, 0.90000762951094837, 2});
    expect_equal((*messages)[2], LeaseRequest{13, hash_name("b"), 1, 3, 0, 0, 0, 0, 0.0625, 16,
                                              7.6295109483482109e-05});
    EXPECT_EQ(encode(*messages), bytes);
}

TEST(LeaseCompatibility, NoMessages) {
    const std::string bytes = from_hex("a904d1");
    EXPECT_EQ(encode({}), bytes);
    const auto messages = decode(bytes);
    ASSERT_TRUE(messages);
    EXPECT_TRUE(messages->empty());
}

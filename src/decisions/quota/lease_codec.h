// The lease messages between instances, and their encoding in a datagram.
//
// A datagram consists of a format byte, up to max_messages_per_datagram messages, and a checksum.
// Numbers are little-endian. The encoding must not change, because instances of different versions
// exchange leases.
//
// Amounts are encoded with 12 significant bits: in steps of lease_unit_step below 256 units, above
// that in 2,048 steps for each doubling, up to about 8,000,000. Required amounts are rounded up,
// granted and returned amounts are rounded down, so that rounding creates no units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decisions/name_hash.h"

namespace silverreach {

// An instance requests a lease on a customer's quota and ceiling from the quota's owner. Amounts
// are in units of the plan.
struct LeaseRequest {
    std::uint32_t nonce = 0;          // repeated in the grant
    std::uint32_t customer_hash = 0;  // hash_name() of the customer's name
    int plan = 0;                     // index into Settings::plans, 0 to 255
    int subset_size = 1;              // instances through which the customer arrives
    int subset_start = 0;             // rank of the first of them
    double required_units = 0;        // granted completely or not at all
    double extra_units = 0;           // beyond those, likely to be used soon
    double ceiling_units = 0;         // of the ceiling's common share
    double demand_rate = 0;           // units per second at the requesting instance
    double returned_units = 0;        // given back to the owner
    double standing_share = 0;        // standing lease active there now, 0 to 1
};

// The owner's reply.
struct LeaseGrant {
    std::uint32_t nonce = 0;  // of the request
    double units = 0;
    double ceiling_units = 0;
    std::uint32_t wait_ms = 0;  // until required_units and ceiling_units are available; 0: they are
    double demand_rate = 0;     // units per second at all instances, recently
    double standing_share = 0;  // standing lease granted, as a share of the quota, 0 to 1
    int holder_count = 0;       // instances with leases of the customer; 0: sent by a successor
};

using PeerMessage = std::variant<LeaseRequest, LeaseGrant>;

inline constexpr double lease_unit_step = 1.0 / 16;
inline constexpr double standing_share_step = 1.0 / 65535;
inline constexpr std::size_t max_datagram_bytes = 256;
inline constexpr std::size_t max_messages_per_datagram = 9;

// Returns the largest multiple of `step` that does not exceed `amount`.
double round_down_to_step(double amount, double step = lease_unit_step);

// Returns the bytes of one datagram. Messages beyond max_messages_per_datagram are left out.
std::string encode(const std::vector<PeerMessage>& messages);

// Returns nullopt if the checksum is wrong or the bytes are not a datagram of this format.
std::optional<std::vector<PeerMessage>> decode(std::string_view bytes);

}  // namespace silverreach

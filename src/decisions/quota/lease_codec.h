// The lease messages between instances, and their bytes in a datagram.
//
// A datagram is a format byte, up to max_messages_per_datagram messages, and a checksum; numbers
// are little-endian. The bytes are fixed: instances of different versions share leases.
//
// Amounts travel with 12 significant bits: exact in steps of lease_unit_step below 256 units, then
// in 2,048 steps to each doubling, 8,000,000 at most. What is required is rounded up, what is
// granted or returned is rounded down, so that rounding creates no units.
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

// An instance requests a lease on a customer's quota and ceiling of the quota's owner. Amounts are
// in units of the plan.
struct LeaseRequest {
    std::uint32_t nonce = 0;          // comes back in the grant
    std::uint32_t customer_hash = 0;  // hash_name() of the customer's name
    int plan = 0;                     // index into Settings::plans, 0 to 255
    int subset_size = 1;              // instances through which the customer arrives
    int subset_start = 0;             // rank of the first of them
    double required_units = 0;        // without which the lease is of no use
    double extra_units = 0;           // that are likely to be used soon, beyond those
    double ceiling_units = 0;         // of the ceiling's common share
    double demand_rate = 0;           // units a second demanded at the requesting instance
    double returned_units = 0;        // given back to the owner
    double standing_share = 0;        // standing lease that runs there now, 0 to 1
};

// The owner's reply.
struct LeaseGrant {
    std::uint32_t nonce = 0;  // of the request
    double units = 0;
    double ceiling_units = 0;
    std::uint32_t wait_ms = 0;  // until what was required could be granted; 0: it is granted
    double demand_rate = 0;     // units a second demanded lately at all instances
    double standing_share = 0;  // of the quota, that refills at the holder by the clock; 0 to 1
    int holder_count = 0;       // instances with leases of the customer; 0: from a successor
};

using PeerMessage = std::variant<LeaseRequest, LeaseGrant>;

inline constexpr double lease_unit_step = 1.0 / 16;
inline constexpr double standing_share_step = 1.0 / 65535;
inline constexpr std::size_t max_message_bytes = 256;  // of a datagram
inline constexpr std::size_t max_messages_per_datagram = 9;

// The largest multiple of `step` that is not above `amount`.
double round_down_to_step(double amount, double step = lease_unit_step);

// The bytes of one datagram. Messages beyond max_messages_per_datagram are left out.
std::string encode(const std::vector<PeerMessage>& messages);

// Nothing where the checksum is wrong or the bytes are no datagram of this format.
std::optional<std::vector<PeerMessage>> decode(std::string_view bytes);

}  // namespace silverreach

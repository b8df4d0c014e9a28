// The registry's log as bytes: records with checksums, and what is to be believed of a log after a
// crash. No I/O.
//
//   log     "SRREG1\n", then records: length (4), XXH64 of what follows (8), the change
//   mark    two slots of 24 bytes, written in turn: sequence (8), bytes of the log acknowledged
//   (8), XXH64 of both (8)
//
// A change is appended and synced, then the mark is written and synced, then it is acknowledged. So
// what is damaged below the mark was acknowledged and must not be lost: the log is refused. What is
// not whole beyond it never was: it is cut off. A whole record beyond the mark is kept: its writer
// died between the log and the acknowledgement.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/registry.h"

namespace silverreach::accounts {

inline constexpr std::string_view log_magic = "SRREG1\n";
inline constexpr std::size_t slot_size = 24, most_record = 1 << 20;

std::string encode(const Change& change);
std::optional<Change> decode(std::string_view bytes);  // nothing: no change of this version

std::string record_of(const Change& change);

struct Mark {
    std::uint64_t sequence = 0, acknowledged = 0;
};
std::string slot_of(const Mark& mark);
// The later of the whole slots; nothing where neither is whole.
std::optional<Mark> read_mark(std::string_view bytes);

struct Recovered {
    std::string problem;  // not empty: the log is refused, and why
    std::vector<Change> changes;
    std::size_t keep = 0;  // bytes of the log that stand; the rest is to be cut off
    Mark mark;
};
// `acknowledged_only`: for readers beside a writer, who may yet take back what is beyond the mark.
Recovered recover(std::string_view log, std::string_view mark, bool acknowledged_only = false);

}  // namespace silverreach::accounts

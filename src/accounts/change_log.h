// Encodes the registry's log, which consists of records with checksums, and its commit marker, and
// recovers the changes from both after a crash. No I/O.
//
//   log     "SRREG1\n", then records: length (4 bytes), XXH64 of the body (8), the body
//           (accounts/change_codec.h)
//   marker  two slots of 24 bytes, written alternately: sequence (8), committed bytes of the log
//           (8), XXH64 of both (8)
//
// A change is appended and synced, then the marker is written and synced, then the change is
// acknowledged. Damage below the marker therefore concerns acknowledged changes, and the log is
// rejected. An incomplete record beyond the marker was never acknowledged and is truncated. A
// complete record beyond it is kept: its writer stopped after appending it and before acknowledging
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/change.h"

namespace silverreach::accounts {

inline constexpr std::string_view log_magic = "SRREG1\n";
inline constexpr std::size_t marker_slot_bytes = 24;
inline constexpr std::size_t max_record_bytes = 1 << 20;

std::string encode_record(const Change& change);

struct CommitMarker {
    std::uint64_t sequence = 0;         // number of the commit
    std::uint64_t committed_bytes = 0;  // size of the committed part of the log
};
// Encodes one slot, whose offset in the marker is (sequence % 2) * marker_slot_bytes.
std::string encode_marker_slot(const CommitMarker& marker);
// Returns the valid slot with the higher sequence, or nullopt if neither slot is valid.
std::optional<CommitMarker> decode_marker(std::string_view bytes);

enum class LogErrorCode {
    marker_invalid,
    unknown_format,
    truncated,               // shorter than the marker's committed bytes
    record_damaged,          // a record below the marker is damaged
    record_of_other_version  // the checksum of a record below the marker is valid, its body is not
};
struct LogError {
    LogErrorCode code;
    std::string message;
};

struct RecoveredLog {
    std::optional<LogError> error;  // the log is rejected; `changes` is empty
    std::vector<Change> changes;
    std::size_t valid_bytes = 0;  // of the log; the writer truncates the rest
    CommitMarker marker;
};
enum class RecoverUpTo {
    last_complete_record,
    commit_marker  // for readers: a concurrent writer may still truncate what is beyond it
};
RecoveredLog recover_log(std::string_view log, std::string_view marker_bytes,
                         RecoverUpTo limit = RecoverUpTo::last_complete_record);

}  // namespace silverreach::accounts

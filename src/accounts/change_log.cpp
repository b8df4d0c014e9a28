#include "accounts/change_log.h"

#include <xxhash.h>

#include <utility>

#include "accounts/change_codec.h"

namespace silverreach::accounts {
namespace {
constexpr int length_width = 4;
constexpr int checksum_width = 8;
constexpr int marker_field_width = 8;
constexpr std::size_t record_header_bytes = length_width + checksum_width;
constexpr std::size_t marker_checked_bytes = std::size_t{2} * marker_field_width;

std::uint64_t checksum_of(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

LogError error_at(std::size_t offset, LogErrorCode code, const std::string& reason) {
    return {code, "at byte " + std::to_string(offset) + ": " + reason +
                      "; acknowledged changes would be lost"};
}

struct DecodedRecord {
    std::optional<Change> change;  // nothing where the record is not valid
    bool checksum_valid = false;
    std::size_t size = 0;  // with the header
};
DecodedRecord decode_record(std::string_view bytes) {
    DecodedRecord record;
    if (bytes.size() < record_header_bytes) return record;
    ByteReader header(bytes.substr(0, record_header_bytes));
    const std::uint64_t length = header.number(length_width);
    const std::uint64_t checksum = header.number(checksum_width);
    if (length > max_record_bytes || length > bytes.size() - record_header_bytes) return record;
    const std::string_view body = bytes.substr(record_header_bytes, length);
    record.size = record_header_bytes + length;
    record.checksum_valid = checksum_of(body) == checksum;
    if (record.checksum_valid) record.change = decode_change(body);
    return record;
}

// What is wrong with the log as a whole, before any record is read.
std::optional<LogError> check_header(std::string_view log, const CommitMarker& marker) {
    if (!log.starts_with(log_magic))
        return error_at(0, LogErrorCode::unknown_format, "no log of this version");
    if (marker.committed_bytes > log.size())
        return error_at(log.size(), LogErrorCode::truncated,
                        "the log is shorter than what was acknowledged");
    return std::nullopt;
}
}  // namespace

std::string encode_record(const Change& change) {
    const std::string body = encode_change(change);
    ByteWriter header;
    header.number(body.size(), length_width);
    header.number(checksum_of(body), checksum_width);
    return header.bytes + body;
}

std::string encode_marker_slot(const CommitMarker& marker) {
    ByteWriter slot;
    slot.number(marker.sequence, marker_field_width);
    slot.number(marker.committed_bytes, marker_field_width);
    slot.number(checksum_of(slot.bytes), checksum_width);
    return std::move(slot.bytes);
}

std::optional<CommitMarker> decode_marker(std::string_view bytes) {
    std::optional<CommitMarker> latest;
    for (std::size_t at = 0; at + marker_slot_bytes <= bytes.size(); at += marker_slot_bytes) {
        const std::string_view slot = bytes.substr(at, marker_slot_bytes);
        ByteReader reader(slot);
        CommitMarker marker;
        marker.sequence = reader.number(marker_field_width);
        marker.committed_bytes = reader.number(marker_field_width);
        const std::uint64_t checksum = reader.number(checksum_width);
        if (checksum != checksum_of(slot.substr(0, marker_checked_bytes))) continue;
        if (!latest || marker.sequence > latest->sequence) latest = marker;
    }
    return latest;
}

RecoveredLog recover_log(std::string_view log, std::string_view marker_bytes, RecoverUpTo limit) {
    RecoveredLog recovered;
    const auto marker = decode_marker(marker_bytes);
    // The marker is complete before the log's first bytes are written, and at any time after that
    // one of its slots is valid.
    if (!marker && log.size() >= log_magic.size()) {
        recovered.error = LogError{LogErrorCode::marker_invalid,
                                   "the mark of what was acknowledged is damaged or gone"};
        return recovered;
    }
    recovered.marker = marker.value_or(CommitMarker{});
    const std::size_t committed = recovered.marker.committed_bytes;
    // The registry was not created completely, so nothing was acknowledged.
    if (log.size() < log_magic.size() && committed == 0 && log_magic.starts_with(log))
        return recovered;
    recovered.error = check_header(log, recovered.marker);
    if (recovered.error) return recovered;

    const std::size_t end = limit == RecoverUpTo::commit_marker ? committed : log.size();
    std::size_t at = log_magic.size();
    while (at < end) {
        DecodedRecord record = decode_record(log.substr(at));
        if (!record.change) {
            if (at >= committed) break;
            recovered.changes.clear();
            recovered.error = record.checksum_valid
                                  ? error_at(at, LogErrorCode::record_of_other_version,
                                             "a change of another version")
                                  : error_at(at, LogErrorCode::record_damaged, "a damaged change");
            return recovered;
        }
        recovered.changes.push_back(std::move(*record.change));
        at += record.size;
    }
    recovered.valid_bytes = at;
    return recovered;
}

}  // namespace silverreach::accounts

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
constexpr std::size_t checksummed_marker_bytes = std::size_t{2} * marker_field_width;

std::uint64_t checksum_of(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

LogError error_at(std::size_t offset, LogErrorCode code, const std::string& reason) {
    return {code, "at byte " + std::to_string(offset) + ": " + reason +
                      "; acknowledged changes would be lost"};
}

struct DecodedRecord {
    std::optional<Change> change;  // nullopt if the record is invalid
    bool checksum_valid = false;
    std::size_t size = 0;  // including the header
};
DecodedRecord decode_record(std::string_view bytes) {
    DecodedRecord record;
    if (bytes.size() < record_header_bytes) return record;
    ByteReader header(bytes.substr(0, record_header_bytes));
    const std::uint64_t length = header.read_number(length_width);
    const std::uint64_t checksum = header.read_number(checksum_width);
    if (length > max_record_bytes || length > bytes.size() - record_header_bytes) return record;
    const std::string_view body = bytes.substr(record_header_bytes, length);
    record.size = record_header_bytes + length;
    record.checksum_valid = checksum_of(body) == checksum;
    if (record.checksum_valid) record.change = decode_change(body);
    return record;
}

// Checks the start and the size of the log before any record is read.
std::optional<LogError> check_start_and_size(std::string_view log, const CommitMarker& marker) {
    if (!log.starts_with(log_magic))
        return error_at(0, LogErrorCode::unknown_format, "not a registry log of this version");
    if (marker.committed_bytes > log.size())
        return error_at(log.size(), LogErrorCode::truncated,
                        "the log is shorter than its acknowledged part");
    return std::nullopt;
}
}  // namespace

std::string encode_record(const Change& change) {
    const std::string body = encode_change(change);
    ByteWriter header;
    header.write_number(body.size(), length_width);
    header.write_number(checksum_of(body), checksum_width);
    return header.bytes + body;
}

std::string encode_marker_slot(const CommitMarker& marker) {
    ByteWriter slot;
    slot.write_number(marker.sequence, marker_field_width);
    slot.write_number(marker.committed_bytes, marker_field_width);
    slot.write_number(checksum_of(slot.bytes), checksum_width);
    return std::move(slot.bytes);
}

std::optional<CommitMarker> decode_marker(std::string_view bytes) {
    std::optional<CommitMarker> latest;
    for (std::size_t offset = 0; offset + marker_slot_bytes <= bytes.size();
         offset += marker_slot_bytes) {
        const std::string_view slot = bytes.substr(offset, marker_slot_bytes);
        ByteReader reader(slot);
        CommitMarker marker;
        marker.sequence = reader.read_number(marker_field_width);
        marker.committed_bytes = reader.read_number(marker_field_width);
        const std::uint64_t checksum = reader.read_number(checksum_width);
        if (checksum != checksum_of(slot.substr(0, checksummed_marker_bytes))) continue;
        if (!latest || marker.sequence > latest->sequence) latest = marker;
    }
    return latest;
}

RecoveredLog recover_log(std::string_view log, std::string_view marker_bytes, RecoverUpTo limit) {
    RecoveredLog recovered;
    const auto marker = decode_marker(marker_bytes);
    // The marker is complete before the log's first bytes are written, and at least one of its
    // slots is valid at any time after that.
    if (!marker && log.size() >= log_magic.size()) {
        recovered.error =
            LogError{LogErrorCode::marker_invalid, "the commit marker is damaged or missing"};
        return recovered;
    }
    recovered.marker = marker.value_or(CommitMarker{});
    const std::size_t committed = recovered.marker.committed_bytes;
    // The creation of the registry was interrupted, so nothing was acknowledged.
    if (log.size() < log_magic.size() && committed == 0 && log_magic.starts_with(log))
        return recovered;
    recovered.error = check_start_and_size(log, recovered.marker);
    if (recovered.error) return recovered;

    const std::size_t end = limit == RecoverUpTo::commit_marker ? committed : log.size();
    std::size_t offset = log_magic.size();
    while (offset < end) {
        DecodedRecord record = decode_record(log.substr(offset));
        if (!record.change) {
            if (offset >= committed) break;
            recovered.changes.clear();
            recovered.error =
                record.checksum_valid
                    ? error_at(offset, LogErrorCode::record_of_other_version,
                               "a change in the format of another version")
                    : error_at(offset, LogErrorCode::record_damaged, "a damaged record");
            return recovered;
        }
        recovered.changes.push_back(std::move(*record.change));
        offset += record.size;
    }
    recovered.valid_bytes = offset;
    return recovered;
}

}  // namespace silverreach::accounts

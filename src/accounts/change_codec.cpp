#include "accounts/change_codec.h"

#include <utility>

namespace silverreach::accounts {
namespace {
constexpr int text_length_width = 4;
constexpr int version_width = 8;
constexpr int time_width = 8;
constexpr int tag_width = 1;

// Visits the fields of an operation in the order of the log; `visitor` is a ByteWriter or a
// ByteReader.
template <typename Visitor, typename... Fields>
void visit_in_order(Visitor& visitor, Fields&... fields) {
    (visitor(fields), ...);
}
template <typename Visitor, typename Op>
void visit_fields(Visitor& visitor, Op& operation) {
    using Operand = std::remove_const_t<Op>;
    if constexpr (std::is_same_v<Operand, AddPlan>)
        visit_in_order(visitor, operation.plan);
    else if constexpr (std::is_same_v<Operand, RemovePlan>)
        visit_in_order(visitor, operation.plan, operation.successor);
    else if constexpr (std::is_same_v<Operand, PutAccount>)
        visit_in_order(visitor, operation.account, operation.plan);
    else if constexpr (std::is_same_v<Operand, MergeAccounts>)
        visit_in_order(visitor, operation.from, operation.into);
    else if constexpr (std::is_same_v<Operand, IssueKey>)
        visit_in_order(visitor, operation.id, operation.account, operation.hash,
                       operation.valid_from, operation.valid_until);
    else if constexpr (std::is_same_v<Operand, RotateKey>)
        visit_in_order(visitor, operation.id, operation.successor, operation.hash,
                       operation.overlap);
    else
        visit_in_order(visitor, operation.id, operation.valid_until, operation.cause);
}

// Returns an operation of the alternative at `index` with default fields, or nullopt if there is no
// such alternative.
template <std::size_t... Indices>
std::optional<Operation> operation_at(std::uint64_t index, std::index_sequence<Indices...>) {
    std::optional<Operation> operation;
    ((index == Indices ? void(operation.emplace(std::in_place_index<Indices>)) : void()), ...);
    return operation;
}
}  // namespace

void ByteWriter::write_number(std::uint64_t value, int width) {
    for (int i = width - 1; i >= 0; --i)
        bytes.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
}
void ByteWriter::operator()(const std::string& text) {
    write_number(text.size(), text_length_width);
    bytes.append(text);
}
void ByteWriter::operator()(const KeyHash& hash) {
    bytes.append(reinterpret_cast<const char*>(hash.data()), hash.size());
}
void ByteWriter::operator()(UnixTime time) {
    write_number(static_cast<std::uint64_t>(time.count()), time_width);
}
void ByteWriter::operator()(RevocationCause cause) {
    write_number(static_cast<std::uint64_t>(cause), tag_width);
}

std::uint8_t ByteReader::read_byte() {
    if (remaining_.empty()) {
        failed_ = true;
        return 0;
    }
    const auto value = static_cast<std::uint8_t>(remaining_.front());
    remaining_.remove_prefix(1);
    return value;
}
std::uint64_t ByteReader::read_number(int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; ++i)
        value = value << 8 | read_byte();
    return value;
}
void ByteReader::operator()(std::string& text) {
    const std::uint64_t length = read_number(text_length_width);
    if (length > remaining_.size()) {
        failed_ = true;
        return;
    }
    text = remaining_.substr(0, length);
    remaining_.remove_prefix(length);
}
void ByteReader::operator()(KeyHash& hash) {
    for (std::uint8_t& value : hash)
        value = read_byte();
}
void ByteReader::operator()(UnixTime& time) {
    time = UnixTime(static_cast<std::int64_t>(read_number(time_width)));
}
void ByteReader::operator()(RevocationCause& cause) {
    const std::uint64_t value = read_number(tag_width);
    if (value > static_cast<std::uint64_t>(RevocationCause::account_merged))
        failed_ = true;
    else
        cause = static_cast<RevocationCause>(value);
}

std::string encode_change(const Change& change) {
    ByteWriter writer;
    writer.write_number(change.version, version_width);
    writer(change.at);
    writer.write_number(change.operation.index(), tag_width);
    std::visit([&](const auto& operation) { visit_fields(writer, operation); }, change.operation);
    return std::move(writer.bytes);
}

std::optional<Change> decode_change(std::string_view bytes) {
    ByteReader reader(bytes);
    Change change;
    change.version = reader.read_number(version_width);
    reader(change.at);
    auto operation = operation_at(reader.read_number(tag_width),
                                  std::make_index_sequence<std::variant_size_v<Operation>>());
    if (!operation) return std::nullopt;
    std::visit([&](auto& fields) { visit_fields(reader, fields); }, *operation);
    if (!reader.complete()) return std::nullopt;
    change.operation = std::move(*operation);
    return change;
}

}  // namespace silverreach::accounts

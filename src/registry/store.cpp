#include "registry/store.h"

#include <fcntl.h>

#include <cerrno>
#include <cstring>

namespace silverreach::registry {
namespace {
constexpr const char* outcome_unknown_note =
    "; open the registry again to find out whether the change was made";
}

Store::Store(const std::string& folder, Mode mode, bool create, Disk& disk)
    : folder_(folder), mode_(mode), disk_(disk) {
    initialize_cryptography();
    const bool is_writer = mode == Mode::write;
    if (create) make_folder(folder);
    if (is_writer) lock_ = lock_folder(folder);
    const int create_flag = create ? O_CREAT : 0;
    const int flags = is_writer ? O_RDWR | create_flag : O_RDONLY;
    log_file_ = open_file(path_of("log"), flags);
    marker_file_ = open_file(path_of("mark"), flags);
    if (!log_file_ || !marker_file_) throw_system_error(folder + ": cannot open the registry");
    const event::Fd secret_file = open_file(path_of("secret"), flags);
    if (!secret_file) throw_system_error(path_of("secret"));

    // The marker is read before the log, since a concurrent writer extends the log before it
    // advances the marker.
    Contents contents;
    contents.secret = read_all(secret_file, path_of("secret"));
    contents.marker = read_all(marker_file_, path_of("mark"));
    contents.log = read_all(log_file_, path_of("log"));
    if (is_writer && is_incomplete(contents)) initialize(secret_file, contents);
    load_pepper(contents.secret);
    replay(contents);
}

// Returns whether the creation of the registry was interrupted. Its last step writes the log's
// first bytes, and no change is acknowledged before.
bool Store::is_incomplete(const Contents& contents) const {
    if (contents.log.size() >= accounts::log_magic.size()) return false;
    const auto marker = accounts::decode_marker(contents.marker);
    return !marker || marker->committed_bytes == 0;
}

void Store::initialize(const event::Fd& secret_file, Contents& contents) {
    const auto pepper = random_bytes();
    contents.secret.assign(reinterpret_cast<const char*>(pepper.data()), pepper.size());
    contents.marker = accounts::encode_marker_slot({});
    contents.log = accounts::log_magic;
    write_durably(disk_, secret_file, contents.secret, path_of("secret"));
    write_durably(disk_, marker_file_, contents.marker, path_of("mark"));
    write_durably(disk_, log_file_, contents.log, path_of("log"));
    sync_folder(folder_);
}

void Store::load_pepper(const std::string& secret) {
    accounts::Pepper pepper{};
    if (secret.size() != pepper.size())
        throw StoreError(StoreErrorCode::corrupt,
                         path_of("secret") +
                             ": expected 32 bytes; without it no key of the log can be verified");
    std::memcpy(pepper.data(), secret.data(), pepper.size());
    registry_ = std::make_unique<accounts::Registry>(pepper);
}

void Store::replay(const Contents& contents) {
    const bool is_writer = mode_ == Mode::write;
    const auto recovered =
        accounts::recover_log(contents.log, contents.marker,
                              is_writer ? accounts::RecoverUpTo::last_complete_record
                                        : accounts::RecoverUpTo::commit_marker);
    if (recovered.error)
        throw StoreError(StoreErrorCode::corrupt, path_of("log") + ": " + recovered.error->message);
    for (const accounts::Change& change : recovered.changes)
        if (const auto error = registry_->apply(change))
            throw StoreError(StoreErrorCode::corrupt, path_of("log") + ": change " +
                                                          std::to_string(change.version) +
                                                          " cannot be applied: " + error->message);
    log_bytes_ = recovered.valid_bytes;
    last_marker_ = recovered.marker;
    if (!is_writer || log_bytes_ >= contents.log.size()) return;
    if (!disk_.truncate(log_file_.get(), log_bytes_) || !disk_.sync(log_file_.get()))
        throw_system_error(path_of("log"));
}

std::optional<CommitError> Store::commit(const accounts::Operation& operation,
                                         accounts::UnixTime at) {
    if (outcome_unknown_)
        return CommitError{CommitErrorCode::closed,
                           "after a disk failure it is unknown whether an earlier change was made; "
                           "open the registry again"};
    const accounts::Change change{registry_->version() + 1, at, operation};
    if (const auto error = registry_->check(change))
        return CommitError{CommitErrorCode::rejected, error->message};
    const std::string record = accounts::encode_record(change);
    const accounts::CommitMarker marker{last_marker_.sequence + 1, log_bytes_ + record.size()};
    if (!disk_.write(log_file_.get(), log_bytes_, record) || !disk_.sync(log_file_.get()))
        return roll_back();
    const std::uint64_t slot_offset = marker.sequence % 2 * accounts::marker_slot_bytes;
    if (!disk_.write(marker_file_.get(), slot_offset, accounts::encode_marker_slot(marker)) ||
        !disk_.sync(marker_file_.get())) {
        // The marker may or may not have reached the disk.
        outcome_unknown_ = true;
        return CommitError{CommitErrorCode::outcome_unknown,
                           path_of("mark") + ": " + std::strerror(errno) + outcome_unknown_note};
    }
    registry_->apply(change);
    log_bytes_ = marker.committed_bytes;
    last_marker_ = marker;
    return std::nullopt;
}

// Truncates the log to the committed bytes. If that fails, the next opening may find a complete
// record beyond the marker.
CommitError Store::roll_back() {
    const std::string message = path_of("log") + ": " + std::strerror(errno);
    outcome_unknown_ = !disk_.truncate(log_file_.get(), log_bytes_) || !disk_.sync(log_file_.get());
    if (outcome_unknown_) return {CommitErrorCode::outcome_unknown, message + outcome_unknown_note};
    return {CommitErrorCode::not_committed, message + "; the change was not made"};
}

}  // namespace silverreach::registry

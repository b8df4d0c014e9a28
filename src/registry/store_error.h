// Why a registry folder cannot be opened, or a change to it was not committed.
#pragma once

#include <stdexcept>
#include <string>

namespace silverreach::registry {

enum class StoreErrorCode {
    not_found,  // there is no registry in the folder
    locked,     // another writer has it open
    io,         // a system call failed
    corrupt,    // the log, the marker or the secret is not valid
    no_randomness
};
class StoreError : public std::runtime_error {
  public:
    StoreError(StoreErrorCode code, const std::string& message)
        : std::runtime_error(message), code_(code) {}
    StoreErrorCode code() const { return code_; }

  private:
    StoreErrorCode code_;
};

enum class CommitErrorCode {
    rejected,         // the change is not valid; nothing was written
    not_committed,    // the disk failed; the change was not made
    outcome_unknown,  // the disk failed; whether it was made shows when the registry is opened
                      // again
    closed            // an earlier outcome is unknown; open the registry again
};
struct CommitError {
    CommitErrorCode code;
    std::string message;
};

}  // namespace silverreach::registry

// The errors of opening a registry folder and of committing a change to it.
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
    rejected,         // the change is invalid; nothing was written
    not_committed,    // a disk operation failed; the change was not made
    outcome_unknown,  // a disk operation failed; whether the change was made is known only after
                      // the registry has been opened again
    closed            // the outcome of an earlier commit is unknown; open the registry again
};
struct CommitError {
    CommitErrorCode code;
    std::string message;
};

}  // namespace silverreach::registry

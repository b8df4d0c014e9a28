// The requests of one coordinator, with the state of each.
//
//   pending    --a successful response starts-->              streaming
//   pending    --rejected, failed, client disconnected-->     completed
//   streaming  --response ends, breaks or is aborted-->       completed
//
// A request is erased once it is completed and all its attempts have ended.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/attempt_key.h"
#include "decisions/retry/attempt_rules.h"
#include "silverreach/interface.h"

namespace silverreach::core {

enum class RequestState {
    pending,
    streaming,
    completed
};

struct Request {
    RequestState state = RequestState::pending;
    int streaming_attempt = -1;  // whose response goes to the client; negative: none
    Outcome last_outcome = Outcome::success;
    rules::RequestRecord record;
    std::vector<Micros> attempt_deadlines;  // clock times, by attempt

    void start_streaming(int attempt);
    // The client got its final response from the gateway itself.
    void complete_with_own_response();
    void complete_without_client();
    // The end of a streamed response, whole or not.
    void complete_streaming();
    bool has_attempt_in_flight() const;
};

class RequestTable {
  public:
    // Pointers stay valid until the request is erased.
    Request& create(RequestId id) { return requests_[id]; }
    Request* find(RequestId id);
    // Null where there is no such request or attempt.
    rules::AttemptRecord* find_attempt(const AttemptKey& key);
    // Marks the attempt as ended. `never_ran`: its end proves that the endpoint did not execute it.
    // Returns its request; null where the attempt is unknown or has ended before.
    Request* end_attempt(const AttemptKey& key, bool never_ran = false);
    void erase_if_finished(RequestId id);
    std::size_t size() const { return requests_.size(); }

  private:
    std::unordered_map<RequestId, Request> requests_;
};

}  // namespace silverreach::core

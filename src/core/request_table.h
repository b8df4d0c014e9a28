// The requests of one coordinator, with the state of each.
//
//   pending    --a successful response starts-->              streaming
//   pending    --rejected, failed, client disconnected-->     completed
//   streaming  --response ends or is aborted-->               completed
//   streaming  --client disconnected-->                       completed
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
    int streaming_attempt = -1;  // its response is forwarded to the client; negative: none
    Outcome last_outcome = Outcome::success;
    rules::RequestRecord record;
    std::vector<Micros> attempt_deadlines;  // clock times, by attempt number

    void start_streaming(int attempt);
    // Called when the gateway itself sends the final response.
    void complete_with_gateway_response();
    void complete_after_disconnect();
    // Called when a streamed response ends, complete or not.
    void complete_streaming();
    bool has_attempt_in_flight() const;
};

class RequestTable {
  public:
    // Pointers stay valid until the request is erased.
    Request& create(RequestId id) { return requests_[id]; }
    Request* find(RequestId id);
    // Returns null if there is no such request or attempt.
    rules::AttemptRecord* find_attempt(const AttemptKey& key);
    // Marks the attempt as ended and returns its request. Returns null if the attempt is unknown or
    // has already ended. `never_ran`: the outcome proves that the endpoint did not execute it.
    Request* end_attempt(const AttemptKey& key, bool never_ran = false);
    // Erases the request if it is completed and all its attempts have ended.
    void erase_if_finished(RequestId id);
    std::size_t size() const { return requests_.size(); }

  private:
    std::unordered_map<RequestId, Request> requests_;
};

}  // namespace silverreach::core

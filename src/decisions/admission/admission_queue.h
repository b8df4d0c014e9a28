// Requests that were admitted while no endpoint had capacity. They are dispatched newest first: in
// order of arrival, all would be sent at their last moment. Of more than endpoints can soon take,
// the oldest are rejected, so that their clients can retry in time.
#pragma once

#include <cstddef>
#include <deque>

#include "decisions/request_state.h"

namespace silverreach {

class AdmissionQueue {
  public:
    // `requests` outlives this. Ids of requests that are no longer there, or no longer queued, are
    // dropped when they are met.
    explicit AdmissionQueue(RequestTable& requests) : requests_(requests) {}

    bool empty() const { return ids_.empty(); }
    // Queues the request unless it is queued already.
    void push(RequestState& request);
    // Takes the oldest request out where more are queued than `endpoint_count` allows. Null: none
    // to reject.
    RequestState* pop_excess(std::size_t endpoint_count);
    // Calls `try_send`, which returns whether the request has left the queue, for each request
    // whose latest start has not passed, newest first.
    template <typename TrySend>
    void dispatch_queued(Micros now, TrySend try_send) {
        for (std::size_t i = ids_.size(); i-- > 0;) {
            const auto it = requests_.find(ids_[i]);
            const bool is_queued = it != requests_.end() && it->second.queued;
            if (is_queued && !(now <= it->second.latest_start && try_send(it->second))) continue;
            ids_.erase(ids_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

  private:
    RequestTable& requests_;
    std::deque<RequestId> ids_;  // oldest first
};

}  // namespace silverreach

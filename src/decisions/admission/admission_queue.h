// Queue of admitted requests for which no endpoint has capacity yet. The newest request is
// dispatched first: in order of arrival, every request of a long queue would be sent just before
// its latest start. When the queue exceeds its limit, the oldest request is rejected so that its
// client can retry in time.
#pragma once

#include <cstddef>
#include <deque>

#include "decisions/request_state.h"

namespace silverreach {

class AdmissionQueue {
  public:
    // `requests` must outlive the queue. Ids of requests that were removed or have left the queue
    // are dropped lazily.
    explicit AdmissionQueue(RequestTable& requests) : requests_(requests) {}

    bool empty() const { return request_ids_.empty(); }
    // Queues the request unless it is queued already.
    void push(RequestState& request);
    // Removes the oldest entry if the queue is longer than `endpoint_count` allows. Returns its
    // request, or null if there is no request to reject.
    RequestState* pop_excess(std::size_t endpoint_count);
    // Calls `try_send` for each request whose latest start has not passed, newest first. `try_send`
    // returns whether the request has left the queue.
    template <typename TrySend>
    void dispatch_queued(Micros now, TrySend try_send) {
        for (std::size_t i = request_ids_.size(); i-- > 0;) {
            const auto it = requests_.find(request_ids_[i]);
            const bool is_still_queued = it != requests_.end() && it->second.is_queued;
            if (is_still_queued && !(now <= it->second.latest_start && try_send(it->second)))
                continue;
            request_ids_.erase(request_ids_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

  private:
    RequestTable& requests_;
    std::deque<RequestId> request_ids_;  // oldest first
};

}  // namespace silverreach

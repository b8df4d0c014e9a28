#include "decisions/admission/admission_queue.h"

#include <utility>

namespace silverreach {
namespace {
constexpr double queued_per_endpoint = 0.5;  // requests
}  // namespace

void AdmissionQueue::push(RequestState& request) {
    if (!std::exchange(request.is_queued, true)) request_ids_.push_back(request.arrival.id);
}

RequestState* AdmissionQueue::pop_excess(std::size_t endpoint_count) {
    const double max_queued = queued_per_endpoint * static_cast<double>(endpoint_count) + 1;
    if (static_cast<double>(request_ids_.size()) <= max_queued) return nullptr;
    const auto it = requests_.find(request_ids_.front());
    request_ids_.pop_front();
    return it != requests_.end() && it->second.is_queued ? &it->second : nullptr;
}

}  // namespace silverreach

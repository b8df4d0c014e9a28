#include "decisions/admission/admission_queue.h"

#include <utility>

namespace silverreach {
namespace {
constexpr double queued_per_endpoint = 0.5;  // requests
}  // namespace

void AdmissionQueue::push(RequestState& request) {
    if (!std::exchange(request.queued, true)) ids_.push_back(request.arrival.id);
}

RequestState* AdmissionQueue::pop_excess(std::size_t endpoint_count) {
    const double max_queued = queued_per_endpoint * static_cast<double>(endpoint_count) + 1;
    if (static_cast<double>(ids_.size()) <= max_queued) return nullptr;
    const auto it = requests_.find(ids_.front());
    ids_.pop_front();
    return it != requests_.end() && it->second.queued ? &it->second : nullptr;
}

}  // namespace silverreach

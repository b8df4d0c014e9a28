#include "decisions/load_balancing/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "decisions/load_balancing/slow_start.h"
#include "decisions/quota/lease_codec.h"

namespace silverreach {

void EndpointTable::update(const EndpointsChanged& change) {
    if (change.complete)
        for (auto& [id, endpoint] : endpoints_)
            endpoint.entry.status = EndpointStatus::removed;
    for (const EndpointEntry& entry : change.endpoints)
        apply(entry);
    std::erase_if(endpoints_, [](const auto& item) {
        const Endpoint& endpoint = item.second;
        return endpoint.entry.status == EndpointStatus::removed && endpoint.attempts_in_flight == 0;
    });
    refresh();
}

void EndpointTable::apply(const EndpointEntry& entry) {
    const auto [it, is_new] = endpoints_.try_emplace(entry.id);
    Endpoint& endpoint = it->second;
    if (is_new || entry.started_at != endpoint.entry.started_at) {
        // Attempts sent before the restart still end, so their number is kept.
        const int attempts_in_flight = endpoint.attempts_in_flight;
        endpoint = Endpoint{};
        endpoint.attempts_in_flight = attempts_in_flight;
        endpoint.last_considered = context_.now;
        endpoint.last_response = context_.now;
        endpoint.order_key = hash_name(entry.id + ' ' + std::to_string(context_.settings.rank));
    }
    endpoint.entry = entry;
    endpoint.slow_start_began = slow_start_tracker_.began(entry, context_.now);
}

void EndpointTable::refresh() {
    order_.clear();
    warm_count_ = 0;
    for (auto& [id, endpoint] : endpoints_) {
        slow_start_tracker_.still_listed(id, context_.now);
        order_.push_back(&endpoint);
        if (endpoint.entry.status == EndpointStatus::available &&
            capacity_share(endpoint, context_.settings, context_.now) >= 1)
            ++warm_count_;
    }
    std::stable_sort(order_.begin(), order_.end(), [](const Endpoint* left, const Endpoint* right) {
        return left->order_key < right->order_key;
    });
}

Endpoint* EndpointTable::find(const std::string& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace silverreach

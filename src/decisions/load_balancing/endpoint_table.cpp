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
        apply_entry(entry);
    std::erase_if(endpoints_, [](const auto& item) {
        const Endpoint& endpoint = item.second;
        return endpoint.entry.status == EndpointStatus::removed && endpoint.attempts_in_flight == 0;
    });
    refresh();
}

void EndpointTable::apply_entry(const EndpointEntry& entry) {
    const auto [it, is_new] = endpoints_.try_emplace(entry.id);
    Endpoint& endpoint = it->second;
    if (is_new || entry.started_at != endpoint.entry.started_at) {
        // Attempts sent before the restart still end, so their number is kept.
        const int attempts_in_flight = endpoint.attempts_in_flight;
        endpoint = Endpoint{};
        endpoint.attempts_in_flight = attempts_in_flight;
        endpoint.last_decision_at = context_.now;
        endpoint.last_response_at = context_.now;
        endpoint.preference_key =
            hash_name(entry.id + ' ' + std::to_string(context_.settings.rank));
    }
    endpoint.entry = entry;
    endpoint.slow_start_began_at = slow_start_tracker_.record_entry(entry, context_.now);
}

void EndpointTable::refresh() {
    preference_order_.clear();
    warm_count_ = 0;
    for (auto& [id, endpoint] : endpoints_) {
        slow_start_tracker_.mark_listed(id, context_.now);
        preference_order_.push_back(&endpoint);
        if (endpoint.entry.status == EndpointStatus::available &&
            capacity_share(endpoint, context_.settings, context_.now) >= 1)
            ++warm_count_;
    }
    std::stable_sort(preference_order_.begin(), preference_order_.end(),
                     [](const Endpoint* left, const Endpoint* right) {
                         return left->preference_key < right->preference_key;
                     });
}

Endpoint* EndpointTable::find(const std::string& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace silverreach

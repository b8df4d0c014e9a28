#include "frontend/resp/request_table.h"

#include <utility>

namespace silverreach::frontend::resp {

void RequestTable::add(RequestId id, RequestInFlight request) {
    by_client_id_[request.client_id] = id;
    requests_[id] = std::move(request);
}

const RequestInFlight* RequestTable::find(RequestId id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

bool RequestTable::has_client_id(std::uint64_t client_id) const {
    return by_client_id_.contains(client_id);
}

void RequestTable::hold_client_id(std::uint64_t client_id, event::Micros until) {
    if (held_ids_.size() >= max_held_ids) drop_oldest_held();
    held_ids_.push_back({client_id, until});
    held_until_[client_id] = until;
}

bool RequestTable::is_held(std::uint64_t client_id, event::Micros now) {
    while (!held_ids_.empty() && held_ids_.front().until <= now)
        drop_oldest_held();
    const auto it = held_until_.find(client_id);
    return it != held_until_.end() && now < it->second;
}

void RequestTable::drop_oldest_held() {
    const HeldId oldest = held_ids_.front();
    held_ids_.pop_front();
    const auto it = held_until_.find(oldest.client_id);
    if (it != held_until_.end() && it->second == oldest.until) held_until_.erase(it);
}

std::optional<RequestInFlight> RequestTable::take(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return std::nullopt;
    RequestInFlight request = std::move(it->second);
    requests_.erase(it);
    by_client_id_.erase(request.client_id);
    return request;
}

}  // namespace silverreach::frontend::resp

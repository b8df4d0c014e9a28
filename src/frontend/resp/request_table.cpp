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

std::optional<RequestInFlight> RequestTable::take(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return std::nullopt;
    RequestInFlight request = std::move(it->second);
    requests_.erase(it);
    by_client_id_.erase(request.client_id);
    return request;
}

}  // namespace silverreach::frontend::resp

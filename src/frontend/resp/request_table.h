// The requests in flight on all connections.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "event/loop.h"
#include "platform/request.h"
#include "silverreach/interface.h"

namespace silverreach::frontend::resp {

class RespConnection;

struct RequestInFlight {
    RespConnection* connection = nullptr;  // stays valid while the request is in the table
    std::uint64_t response_number = 0;     // in the connection's ResponseQueue
    std::uint64_t client_id = 0;           // given by the client
    event::Micros received_at{0};          // on the loop's clock
    std::shared_ptr<const platform::UpstreamCommand> command;
};

// Finds requests by their id and by the id that the client gave.
class RequestTable {
  public:
    void add(RequestId id, RequestInFlight request);
    // Returns nullptr if the request is not in flight.
    const RequestInFlight* find(RequestId id) const;
    bool has_client_id(std::uint64_t client_id) const;
    // Removes and returns the request; returns nothing if it is not in flight.
    std::optional<RequestInFlight> take(RequestId id);
    std::size_t size() const { return requests_.size(); }

  private:
    std::unordered_map<RequestId, RequestInFlight> requests_;
    std::unordered_map<std::uint64_t, RequestId> by_client_id_;
};

}  // namespace silverreach::frontend::resp

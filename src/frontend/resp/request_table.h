// The requests in flight on all connections.
#pragma once

#include <cstdint>
#include <deque>
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
    event::Micros deadline{0};             // of the client, on the loop's clock
    std::shared_ptr<const platform::UpstreamCommand> command;
};

// Finds requests by their id and by the id that the client gave.
class RequestTable {
  public:
    void add(RequestId id, RequestInFlight request);
    // Returns nullptr if the request is not in flight.
    const RequestInFlight* find(RequestId id) const;
    bool has_client_id(std::uint64_t client_id) const;
    // Marks the id as in use by a host until then, although its client has disconnected. Of more
    // than `max_held_ids` the oldest are dropped.
    void hold_client_id(std::uint64_t client_id, event::Micros until);
    bool is_held(std::uint64_t client_id, event::Micros now);
    // Removes and returns the request; returns nothing if it is not in flight.
    std::optional<RequestInFlight> take(RequestId id);
    std::size_t size() const { return requests_.size(); }

  private:
    static constexpr std::size_t max_held_ids = 65536;
    struct HeldId {
        std::uint64_t client_id = 0;
        event::Micros until{0};
    };
    void drop_oldest_held();

    std::deque<HeldId> held_ids_;  // by the time at which they were held
    std::unordered_map<std::uint64_t, event::Micros> held_until_;
    std::unordered_map<RequestId, RequestInFlight> requests_;
    std::unordered_map<std::uint64_t, RequestId> by_client_id_;
};

}  // namespace silverreach::frontend::resp

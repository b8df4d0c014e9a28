// The endpoints that this instance knows from updates of the endpoint list. An endpoint that is
// removed from the list is dropped by the first update after its last attempt has ended.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/load_balancing/slow_start_tracker.h"

namespace silverreach {

// Number of endpoints that each instance prefers. The limit bounds the connections to each endpoint
// when there are many instances, and gives each instance enough responses from those it uses.
inline constexpr std::size_t preferred_endpoints = 32;

// Owns the endpoints. Pointers to them are valid until the next update.
class EndpointTable {
  public:
    explicit EndpointTable(const DecisionContext& context)
        : context_(context), slow_start_tracker_(context.started_at) {}

    // Applies an endpoint list or its changes. Resets the state of an endpoint with a new start
    // time.
    void update(const EndpointsChanged& change);
    // Rebuilds the order, counts the warm endpoints again and keeps the start times of known
    // endpoints from expiring.
    void refresh();
    void drop_expired_start_times() { slow_start_tracker_.drop_expired(context_.now); }

    // Null if the endpoint is not known.
    Endpoint* find(const std::string& id);
    std::size_t size() const { return preference_order_.size(); }
    // Endpoints past their slow start, as of the last update or refresh.
    std::size_t warm_count() const { return warm_count_; }
    // All endpoints, preferred ones first. The selector shuffles the preferred ones.
    std::vector<Endpoint*>& preference_order() { return preference_order_; }

  private:
    void apply_entry(const EndpointEntry& entry);

    const DecisionContext& context_;
    SlowStartTracker slow_start_tracker_;
    std::map<std::string, Endpoint> endpoints_;
    std::vector<Endpoint*> preference_order_;
    std::size_t warm_count_ = 0;
};

}  // namespace silverreach

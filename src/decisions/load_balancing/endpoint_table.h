// The endpoints that this instance knows, from endpoint list updates. An endpoint that was removed
// from the list stays until its last attempt has ended.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/load_balancing/slow_start_tracker.h"

namespace silverreach {

// Each instance prefers this many endpoints, so that many instances do not use up each endpoint's
// connections and each instance sees enough responses of those it uses.
inline constexpr std::size_t preferred_endpoints = 32;

// Owns the endpoints; pointers to them stay valid until the next update.
class EndpointTable {
  public:
    explicit EndpointTable(const DecisionContext& context)
        : context_(context), slow_start_tracker_(context.boot) {}

    // Applies an endpoint list or its changes. An endpoint with another start time starts anew.
    void update(const EndpointsChanged& change);
    // Sorts the endpoints anew and counts the warm ones again; forgets old start times.
    void refresh();
    void forget_old_starts() { slow_start_tracker_.forget_old(context_.now); }

    // Null where the endpoint is not known.
    Endpoint* find(const std::string& id);
    std::size_t size() const { return order_.size(); }
    // Endpoints past their slow start, as of the last update or refresh.
    std::size_t warm_count() const { return warm_count_; }
    // All endpoints, preferred ones first. The selector shuffles within the preferred ones.
    std::vector<Endpoint*>& order() { return order_; }

  private:
    void apply(const EndpointEntry& entry);

    const DecisionContext& context_;
    SlowStartTracker slow_start_tracker_;
    std::map<std::string, Endpoint> endpoints_;
    std::vector<Endpoint*> order_;
    std::size_t warm_count_ = 0;
};

}  // namespace silverreach

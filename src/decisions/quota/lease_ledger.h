// The quota ledgers of the customers whose quota this instance owns, or whose owner it replaces as
// a successor.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "decisions/quota/quota_ledger.h"

namespace silverreach {

// Single-threaded like the engine.
class LeaseLedger {
  public:
    // `context` and `terms` outlive this.
    LeaseLedger(const DecisionContext& context, const LeaseTerms& terms)
        : context_(context), terms_(terms) {}

    // Returns whether the plan and the subset size of a peer's request are valid here.
    bool accepts(const LeaseRequest& request) const;
    // Decides on a request from the instance `rank`. Requires accepts(request). Grants nothing to
    // a customer without a ledger while Settings::max_customers have one.
    LeaseGrant grant(const LeaseRequest& request, int rank);
    // Removes the ledgers that had no request for `idle_timeout`.
    void remove_idle(Micros idle_timeout);

  private:
    bool has_room_for(std::uint32_t customer_hash);
    void remove_replenished();

    const DecisionContext& context_;
    const LeaseTerms& terms_;
    std::unordered_map<std::uint32_t, QuotaLedger> ledgers_;  // by hash of the customer's name
    Micros next_removal_at_{0};
};

}  // namespace silverreach

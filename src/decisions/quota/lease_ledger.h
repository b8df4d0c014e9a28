// The ledgers of the customers whose quota this instance owns, or for which it stands in as a
// successor of the owner.
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

    // Whether a request from a peer names a plan and a subset that can exist here.
    bool accepts(const LeaseRequest& request) const;
    // Decides on a request of the instance `rank`; accepts(request) holds.
    LeaseGrant grant(const LeaseRequest& request, int rank);
    // Drops ledgers without a request for `idle_timeout`.
    void remove_idle(Micros idle_timeout);

  private:
    const DecisionContext& context_;
    const LeaseTerms& terms_;
    std::unordered_map<std::uint32_t, QuotaLedger> ledgers_;  // by hash of the customer's name
};

}  // namespace silverreach

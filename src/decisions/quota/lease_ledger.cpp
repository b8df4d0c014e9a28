#include "decisions/quota/lease_ledger.h"

namespace silverreach {

bool LeaseLedger::accepts(const LeaseRequest& request) const {
    const Settings& settings = context_.settings;
    return request.plan < static_cast<int>(settings.plans.size()) && request.subset_size >= 1 &&
           request.subset_size <= settings.instance_count;
}

LeaseGrant LeaseLedger::grant(const LeaseRequest& request, int rank) {
    const Plan& plan = context_.settings.plans[request.plan];
    const auto [entry, created] =
        ledgers_.try_emplace(request.customer_hash, context_, terms_, plan);
    return entry->second.grant(request, rank);
}

void LeaseLedger::remove_idle(Micros idle_timeout) {
    std::erase_if(ledgers_, [&](const auto& entry) {
        return context_.now - entry.second.last_request_at() >= idle_timeout;
    });
}

}  // namespace silverreach

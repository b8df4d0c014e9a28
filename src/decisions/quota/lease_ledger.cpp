#include "decisions/quota/lease_ledger.h"

#include <chrono>

namespace silverreach {
namespace {
using namespace std::chrono_literals;
constexpr Micros removal_period = 100ms;      // between two searches for ledgers to remove
constexpr std::uint32_t full_wait_ms = 1000;  // of a customer for which there is no room
}  // namespace

bool LeaseLedger::accepts(const LeaseRequest& request) const {
    const Settings& settings = context_.settings;
    return request.plan < static_cast<int>(settings.plans.size()) && request.subset_size >= 1 &&
           request.subset_size <= settings.instance_count;
}

LeaseGrant LeaseLedger::grant(const LeaseRequest& request, int rank) {
    if (!has_room_for(request.customer_hash)) {
        LeaseGrant refusal{request.nonce};
        refusal.wait_ms = full_wait_ms;
        return refusal;
    }
    const Plan& plan = context_.settings.plans[request.plan];
    const auto [entry, created] =
        ledgers_.try_emplace(request.customer_hash, context_, terms_, plan);
    return entry->second.grant(request, rank);
}

bool LeaseLedger::has_room_for(std::uint32_t customer_hash) {
    const std::size_t max_ledgers = context_.settings.max_customers;
    if (ledgers_.size() < max_ledgers || ledgers_.contains(customer_hash)) return true;
    if (context_.now >= next_removal_at_) remove_replenished();
    return ledgers_.size() < max_ledgers;
}

void LeaseLedger::remove_replenished() {
    next_removal_at_ = context_.now + removal_period;
    std::erase_if(ledgers_, [](const auto& entry) { return entry.second.is_replenished(); });
}

void LeaseLedger::remove_idle(Micros idle_timeout) {
    std::erase_if(ledgers_, [&](const auto& entry) {
        return context_.now - entry.second.last_request_at() >= idle_timeout;
    });
}

}  // namespace silverreach

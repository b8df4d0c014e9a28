#include "decisions/quota/quota_manager.h"

#include <algorithm>
#include <array>
#include <variant>

#include "decisions/quota/lease_codec.h"

namespace silverreach {
namespace {

constexpr Micros idle_timeout{60'000'000};  // for customers, ledgers and peers
// At the limit of customers.
constexpr Micros removal_period{100'000};
constexpr std::array<Micros, 3> idle_times_before_removal{Micros{10'000'000}, Micros{1'000'000},
                                                          Micros{0}};
const std::string shared_account_prefix = "\x01shared/";

}  // namespace

QuotaManager::QuotaManager(DecisionContext& context, QuotaListener& listener,
                           std::uint32_t first_nonce)
    : context_(context),
      terms_(context.settings),
      ledger_(context, terms_),
      mailbox_(context),
      client_({.context = context,
               .listener = listener,
               .terms = terms_,
               .ledger = ledger_,
               .mailbox = mailbox_},
              first_nonce) {}

// Customers beyond the limit share one account for each plan. Its name begins with a control
// character, which no name from outside does.
CustomerQuota& QuotaManager::find_or_add(const RequestArrived& request) {
    const auto known = customers_.find(request.customer);
    if (known != customers_.end()) return known->second;
    const std::string name =
        has_room() ? request.customer : shared_account_prefix + std::to_string(request.plan);
    return customers_.try_emplace(name, context_, terms_, hash_name(name), request.plan)
        .first->second;
}

bool QuotaManager::has_room() {
    const std::size_t max_customers = context_.settings.max_customers;
    if (customers_.size() < max_customers) return true;
    if (context_.now >= next_removal_at_) remove_replenished();
    return customers_.size() < max_customers;
}

// Customers that were idle for longer are removed first, as those in use would have to ask for
// their units again.
void QuotaManager::remove_replenished() {
    next_removal_at_ = context_.now + removal_period;
    const std::size_t target = context_.settings.max_customers / 4 * 3;
    for (const Micros idle_time : idle_times_before_removal) {
        std::erase_if(customers_, [&](const auto& entry) {
            return context_.now - entry.second.last_request_at() >= idle_time &&
                   entry.second.is_replenished();
        });
        if (customers_.size() <= target) return;
    }
}

CustomerQuota& QuotaManager::on_request(const RequestArrived& request) {
    CustomerQuota& customer = find_or_add(request);
    customer.on_request(request, std::max(0.0, request.units));
    ++customer.open_requests;
    return customer;
}

const Plan* QuotaManager::plan_of(const CustomerQuota& customer) const {
    return customer.plan();
}

double QuotaManager::missing_units(const CustomerQuota& customer, double units) const {
    return customer.missing_units(units);
}

double QuotaManager::missing_ceiling_units(const CustomerQuota& customer, double units) const {
    return customer.missing_ceiling_units(units);
}

double QuotaManager::demand_share(const CustomerQuota& customer) const {
    return customer.demand_share();
}

std::optional<Micros> QuotaManager::known_shortage(const CustomerQuota& customer,
                                                   double units) const {
    return customer.known_shortage(units);
}

void QuotaManager::wait_for_lease(CustomerQuota& customer, RequestId id) {
    client_.wait_for_lease(customer, id);
}

Reservation QuotaManager::reserve(CustomerQuota& customer, double units, bool within_quota) {
    return customer.reserve(units, within_quota);
}

void QuotaManager::on_attempt_sent(CustomerQuota& customer, Reservation& reservation, double units,
                                   bool is_first_attempt) {
    customer.on_attempt_sent(reservation, units, is_first_attempt);
}

void QuotaManager::release(CustomerQuota& customer, const Reservation& reservation) {
    customer.release(reservation);
}

void QuotaManager::correct_units(CustomerQuota& customer, double charged_units,
                                 double actual_units) {
    customer.correct_units(charged_units, actual_units);
}

void QuotaManager::on_peer_message(int from, const std::string& bytes) {
    const Settings& settings = context_.settings;
    if (from < 0 || from >= settings.instance_count || from == settings.rank) return;
    const auto messages = decode(bytes);
    if (!messages) return;
    mailbox_.on_message_received(from);
    for (const PeerMessage& message : *messages) {
        if (const auto* grant = std::get_if<LeaseGrant>(&message))
            client_.on_granted(from, *grant);
        else if (const auto& request = std::get<LeaseRequest>(message); ledger_.accepts(request))
            mailbox_.post_grant(from, ledger_.grant(request, from));
    }
}

void QuotaManager::on_lease_request_timeout(std::uint32_t nonce) {
    client_.on_request_timeout(nonce);
}

void QuotaManager::on_outbox_timer(int rank) {
    mailbox_.on_outbox_timer(rank);
}

void QuotaManager::on_heartbeat() {
    client_.on_heartbeat();
}

void QuotaManager::remove_idle() {
    mailbox_.remove_idle(idle_timeout);
    ledger_.remove_idle(idle_timeout);
    std::erase_if(customers_, [this](const auto& entry) {
        const CustomerQuota& customer = entry.second;
        return context_.now - customer.last_request_at() >= idle_timeout &&
               customer.open_requests == 0 && !customer.pending_lease.is_in_flight() &&
               !customer.pending_lease.is_renewal_scheduled;
    });
}

void QuotaManager::flush_outboxes() {
    mailbox_.flush();
}

}  // namespace silverreach

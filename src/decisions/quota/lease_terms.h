// The terms of leases on which owner and holders have to agree: how often leases are renewed, when
// they expire, and how a plan's burst and ceiling are divided between the owner and the holders.
//
// A lease is an amount of a customer's quota that the quota's owner grants to another instance, the
// holder. A standing lease is a share of the plan's rate: until it expires, the holder refills its
// store at that share by its own clock, without further messages.
//
// Rates are in units per second, bursts and stores in units.
#pragma once

#include "silverreach/interface.h"

namespace silverreach {

// Demand that a lease covers, in renewal periods, so that the next lease arrives before this one is
// used up. Also the number of messages per renewal period that an owner can accept from each
// holder.
inline constexpr double renewal_margin = 1.5;
// Units that a standing lease may store at its holder, and units by which the holder may overdraw
// its store, as shares of the burst that is set aside for the lease. The owner deducts both.
inline constexpr double standing_store_share = 0.5;
inline constexpr double standing_overdraft_share = 0.25;

// Stateless; reads only the settings.
class LeaseTerms {
  public:
    // `settings` outlives this.
    explicit LeaseTerms(const Settings& settings) : settings_(settings) {}

    // Time between two renewals of one customer's lease by the same holder: as short as the peer
    // message rate of the owner allows with `holder_count` holders, with a lower limit.
    Micros renewal_period(int holder_count) const;
    // Time after which a standing lease expires without renewal.
    static Micros lease_lifetime(Micros renewal_period);
    // Returns whether the demand is at least one unit per renewal period. Holders with steady
    // demand renew their leases in advance and may get a standing lease; other holders request a
    // lease only when a client request needs it.
    bool is_steady(double demand_rate, int holder_count) const;
    // Units of the burst that are set aside for standing leases: twice the units that the rate
    // brings during a lease lifetime, or the complete burst if that is less. The rest of the burst
    // stays with the owner.
    double standing_burst(double rate, double burst, int subset_size) const;

  private:
    const Settings& settings_;
};

// The common share of a ceiling, 0 to 1, on which the owner grants leases. The rest is split evenly
// over the subset and needs no lease.
double common_ceiling_share(int subset_size);
// One instance's part of the evenly split rest; `amount` is the ceiling's rate or burst.
double even_ceiling_share(double amount, int subset_size);

}  // namespace silverreach

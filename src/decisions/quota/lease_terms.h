// A lease is an amount of a customer's quota that its owner grants to another instance, the holder.
// A standing lease is a share of the plan's rate: until it expires the holder refills its store by
// its own clock at that share, without further messages.
//
// The terms of leases on which owner and holders have to agree: how often they are renewed, when
// they expire, and how a plan's burst and ceiling are divided between the owner and the holders.
//
// Rates are in units a second, bursts and stores in units. Stateless; reads the settings only.
#pragma once

#include "silverreach/interface.h"

namespace silverreach {

// Renewal periods of demand that a lease covers, so that the next one comes before it is used up;
// and messages of its intake that an owner reserves for each holder in a period.
inline constexpr double renewal_margin = 1.5;
// Units that a holder's store keeps, and by which it may be overdrawn, as shares of the burst that
// is set aside for its standing lease. The owner deducts both.
inline constexpr double standing_store_share = 0.5;
inline constexpr double standing_overdraft_share = 0.25;

class LeaseTerms {
  public:
    // `settings` outlives this.
    explicit LeaseTerms(const Settings& settings) : settings_(settings) {}

    // Time between two lease requests for one customer by the same holder: as often as the owner's
    // intake of peer messages allows with `holder_count` holders.
    Micros renewal_period(int holder_count) const;
    // How long a standing lease runs without renewal.
    static Micros lease_lifetime(Micros renewal_period);
    // Whether at least a unit is demanded in each renewal period. Such holders renew ahead of need
    // and may get a standing lease; the others request when a request needs it.
    bool is_steady(double demand_rate, int holder_count) const;
    // Units of a burst that are set aside for standing leases: twice what the rate brings while
    // one runs. The rest of the burst stays with the owner.
    double standing_burst(double rate, double burst, int subset_size) const;

  private:
    const Settings& settings_;
};

// A ceiling is divided in two: one is split evenly over the subset and needs no lease, on the
// other, the common share, the owner grants leases.
double common_ceiling_share(int subset_size);
// One instance's even share of `amount`, a ceiling's rate or burst.
double even_ceiling_share(double amount, int subset_size);

}  // namespace silverreach

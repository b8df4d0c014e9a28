// Decides which idle connection to a host carries the next exchange. No I/O, no clock.
//
// A host may send more than its response: a second copy, or noise, that arrives some milliseconds
// later. Responses carry no ids, so on a connection that is reused at once those bytes would count
// as the response to the next request. A connection that has rested for some milliseconds after its
// last exchange is therefore preferred; bytes that arrive during the rest close it. Where none has
// rested, the state decides:
//
//   trusting   the connection that has rested longest is reused
//   guarded    a new connection is opened
//
//   trusting (at the start) ──late bytes──> guarded ──guard_duration without late bytes──> trusting
#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "silverreach/interface.h"

namespace silverreach::upstream {

struct ReuseSettings {
    // Time from the end of an exchange to the next one on the same connection. Bytes that arrive
    // later than that behind a response are not detected.
    Micros rest{0};
    // Time for which late bytes of any host end the trust in all of them.
    Micros guard_duration{0};
    // Whether hosts are never trusted. For hosts to which a few more connections cost little.
    bool always_guarded = false;
    // Resting connections per host from which on one is reused early in any state, so that a host
    // with many requests a second does not need many more connections.
    std::size_t max_resting = std::numeric_limits<std::size_t>::max();
    // Idle time after which only idempotent requests reuse a connection, because its host may be
    // closing it.
    Micros non_idempotent_limit = Micros::max();
};

// Times are on the loop's clock.
struct IdleConnection {
    Micros unused_since{0};
    std::optional<Micros> exchange_ended_at;  // none: no request was written to it yet
};

class ReuseRule {
  public:
    explicit ReuseRule(const ReuseSettings& settings) : settings_(settings) {}

    // Bytes arrived on a connection without a request.
    void on_late_bytes(Micros now) { guarded_until_ = now + settings_.guard_duration; }
    bool is_guarded(Micros now) const { return settings_.always_guarded || now < guarded_until_; }

    // Returns the index of the connection to use, or nothing if a new one is needed. `idle_at(i)`
    // returns the IdleConnection of that index; they are ordered by last use, most recent last.
    // `may_open`: whether the limits allow another connection to the host.
    template <class IdleAt>
    std::optional<std::size_t> choose(std::size_t count, IdleAt idle_at, bool idempotent,
                                      bool may_open, Micros now) const {
        for (std::size_t i = count; i-- > 0;) {
            const IdleConnection connection = idle_at(i);
            if (is_resting(connection, now)) continue;
            if (!idempotent && now - connection.unused_since >= settings_.non_idempotent_limit)
                return std::nullopt;
            return i;
        }
        const bool reuse_early = !is_guarded(now) || !may_open || count >= settings_.max_resting;
        return count > 0 && reuse_early ? std::optional<std::size_t>(0) : std::nullopt;
    }

  private:
    bool is_resting(const IdleConnection& connection, Micros now) const {
        return connection.exchange_ended_at && now - *connection.exchange_ended_at < settings_.rest;
    }

    const ReuseSettings settings_;
    Micros guarded_until_ = Micros::min();
};

}  // namespace silverreach::upstream

// Decides whether the next exchange to a host reuses an idle connection, at once or after a wait,
// or opens a new one. No I/O, no clock.
//
// A host may send more than its response: a second copy, or noise, that arrives some milliseconds
// later. Responses carry no ids, so on a connection that is reused at once those bytes would count
// as the response to the next request. A connection therefore rests for some milliseconds after
// each exchange; bytes that arrive during the rest close it. Where no idle connection has rested,
// a new one is opened while fewer than `max_resting_to_open` are resting, those counted on which an
// exchange waits. Above that the state decides:
//
//   guarded    the exchange waits until the rest of an idle connection is over
//   trusting   an idle connection is reused before its rest is over
//
//   guarded (at the start) ──clean_rests_to_trust rests without late bytes──> trusting
//   trusting ──late bytes of any host──> guarded, for guard_duration at least
//
// Where several connections are resting, the one whose rest ends first is used.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "silverreach/interface.h"

namespace silverreach::upstream {

struct ReuseSettings {
    // Time from the end of an exchange to the next request on the same connection. Bytes that
    // arrive later than that behind a response are not detected.
    Micros rest{0};
    // Least time from late bytes to trust.
    Micros guard_duration{0};
    // Rests in a row, of connections to any host, that ended without late bytes.
    std::uint64_t clean_rests_to_trust = 0;
    // Number of resting connections per host up to which another one is opened.
    std::size_t max_resting_to_open = 0;
    // Idle time after which only idempotent requests reuse a connection, because its host may be
    // closing it.
    Micros non_idempotent_limit = Micros::max();
};

// Times are on the loop's clock.
struct IdleConnection {
    Micros unused_since{0};
    std::optional<Micros> exchange_ended_at;  // none: no request was written to it yet
};

struct ReuseQuery {
    Micros now{0};
    std::size_t idle_count = 0;
    std::size_t waiting_count = 0;  // connections on which an exchange waits for the rest
    bool idempotent = true;
    bool may_open = true;  // the limits allow another connection to the host
};

// The connection to use. The request is written once `wait` has passed without bytes of the host.
struct ReuseChoice {
    std::size_t index = 0;
    Micros wait{0};
    bool rested = false;  // its rest is over, or becomes so after the wait
};

class ReuseRule {
  public:
    explicit ReuseRule(const ReuseSettings& settings) : settings_(settings) {}

    // Bytes arrived on a connection without a request.
    void on_late_bytes(Micros now) {
        guarded_until_ = now + settings_.guard_duration;
        clean_rests_ = 0;
    }
    // The rest of a connection ended without bytes.
    void on_clean_rest() { ++clean_rests_; }
    bool is_guarded(Micros now) const {
        return now < guarded_until_ || clean_rests_ < settings_.clean_rests_to_trust;
    }

    // Returns nothing if a new connection is needed. `idle_at(i)` returns the IdleConnection of
    // that index; they are ordered by last use, most recent last.
    template <class IdleAt>
    std::optional<ReuseChoice> choose(const ReuseQuery& query, IdleAt idle_at) const {
        std::optional<ReuseChoice> first_rested;
        for (std::size_t i = query.idle_count; i-- > 0;) {
            const IdleConnection connection = idle_at(i);
            const Micros wait = remaining_rest(connection, query.now);
            if (wait == Micros{0}) {
                if (is_too_old(connection, query)) return std::nullopt;
                return ReuseChoice{i, wait, connection.exchange_ended_at.has_value()};
            }
            if (!first_rested || wait < first_rested->wait)
                first_rested = ReuseChoice{i, wait, true};
        }
        return first_rested ? choose_resting(query, *first_rested) : std::nullopt;
    }

  private:
    std::optional<ReuseChoice> choose_resting(const ReuseQuery& query,
                                              const ReuseChoice& first_rested) const {
        const std::size_t resting_count = query.idle_count + query.waiting_count;
        if (query.may_open && resting_count < settings_.max_resting_to_open) return std::nullopt;
        if (is_guarded(query.now)) return first_rested;
        return ReuseChoice{first_rested.index, Micros{0}, false};
    }
    Micros remaining_rest(const IdleConnection& connection, Micros now) const {
        if (!connection.exchange_ended_at) return Micros{0};
        return std::max(Micros{0}, *connection.exchange_ended_at + settings_.rest - now);
    }
    bool is_too_old(const IdleConnection& connection, const ReuseQuery& query) const {
        return !query.idempotent &&
               query.now - connection.unused_since >= settings_.non_idempotent_limit;
    }

    const ReuseSettings settings_;
    Micros guarded_until_ = Micros::min();
    std::uint64_t clean_rests_ = 0;  // since the last late bytes
};

}  // namespace silverreach::upstream

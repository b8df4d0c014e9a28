// Decides whether the next exchange to a host reuses an idle connection, at once or after a wait,
// or opens a new one. No I/O, no clock, no state.
//
// A host may send more than its response: a second copy, or noise, that arrives some milliseconds
// later. Responses carry no ids, so on a connection that is reused at once those bytes would count
// as the response to the next request. No request is therefore written to a connection before it
// has rested for some milliseconds after its last exchange; bytes that arrive during the rest close
// it. What a host has sent before is no reason for a shorter rest, because the first late bytes
// would be served as a response. Where no idle connection has rested, a new one is opened while
// fewer than `max_resting_to_open` are resting, those counted on which an exchange waits. Above
// that the exchange waits until the rest of the connection is over whose rest ends first.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "silverreach/interface.h"

namespace silverreach::upstream {

struct ReuseSettings {
    // Time from the end of an exchange to the next request on the same connection. Bytes that
    // arrive later than that behind a response are not detected.
    Micros rest{0};
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
};

class ReuseRule {
  public:
    explicit ReuseRule(const ReuseSettings& settings) : settings_(settings) {}

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
                return ReuseChoice{i, wait};
            }
            if (!first_rested || wait < first_rested->wait) first_rested = ReuseChoice{i, wait};
        }
        if (may_open_instead(query)) return std::nullopt;
        return first_rested;
    }

  private:
    bool may_open_instead(const ReuseQuery& query) const {
        const std::size_t resting_count = query.idle_count + query.waiting_count;
        return query.may_open && resting_count < settings_.max_resting_to_open;
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
};

}  // namespace silverreach::upstream

// Watches the platform's discovery service over HTTP/1.1: the response stays open and carries one
// list after another. After a watch is lost, the next one resumes at the last revision that was
// applied, or starts with the complete list if that revision is not known.
//
//   awaiting_list  -> streaming     on the first list
//   awaiting_list  -> backing_off   on a failure, an implausible list or the first-list timeout
//   streaming      -> backing_off   on a failure, an implausible list or inactivity
//   backing_off    -> awaiting_list when the backoff has passed
//   any            -> awaiting_list on redirect(), which connects to another service
//
// The last valid list stays in use in all states. After a malformed or implausible list, the next
// watch requests the complete list. A list is implausible if it has an older revision or is
// complete and empty; it is accepted if the service repeats it in reply to that request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "discovery/discovery_error.h"
#include "event/stream.h"
#include "platform/targets.h"

namespace silverreach::discovery {

class DiscoveryWatch {
  public:
    // Called on the loop's thread.
    struct Callbacks {
        std::function<void(platform::TargetList)> on_list;
        // Called once per outage, which ends with the next accepted list.
        std::function<void(const DiscoveryError&)> on_unavailable;
    };
    struct Timeouts {
        Micros inactivity{2'600'000};  // the service sends a keep-alive line or a list every 2 s
        // Longest inactivity before the first list of a watch. Doubled, up to the maximum, each
        // time it passes; reset by an accepted list.
        Micros first_list{1'000'000};
        Micros first_list_max{3'000'000};
        Micros initial_backoff{50'000};
        Micros max_backoff{800'000};
        // A watch that delivered a list and lasted this long is resumed without a backoff.
        Micros stable_after{500'000};
        Micros check_interval{100'000};
    };
    // Resumes at `revision`, or starts with the complete list if it is negative. `loop` must
    // outlive this.
    DiscoveryWatch(event::Loop& loop, config::Endpoint service, std::int64_t revision,
                   Callbacks callbacks, Timeouts timeouts);
    DiscoveryWatch(event::Loop& loop, config::Endpoint service, std::int64_t revision,
                   Callbacks callbacks)
        : DiscoveryWatch(loop, std::move(service), revision, std::move(callbacks), Timeouts{}) {}
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;
    ~DiscoveryWatch();

    // Watches another service from now on. Revisions of different services are not comparable, so
    // the watch starts with the complete list.
    void redirect(config::Endpoint service);

  private:
    class WatchStream;
    enum class State {
        awaiting_list,
        streaming,
        backing_off
    };
    // ---- transitions ----
    void connect();                                    // -> awaiting_list
    void on_list_accepted(platform::TargetList list);  // -> streaming
    void back_off(DiscoveryErrorCode code, const std::string& detail, bool was_stable);

    void on_stream_ended(DiscoveryErrorCode code, const std::string& detail);
    void on_malformed_list(const std::string& detail);
    void schedule_check();
    void check_activity();
    void retire_stream();
    bool is_stable() const;
    bool is_implausible(const platform::TargetList& list);

    event::Loop& loop_;
    config::Endpoint service_;
    std::int64_t revision_;
    Callbacks callbacks_;
    Timeouts timeouts_;
    State state_ = State::backing_off;
    Micros backoff_;
    Micros first_list_timeout_;
    bool request_complete_list_ = false;
    std::optional<std::int64_t> unconfirmed_revision_;  // of the latest list, if implausible
    std::uint64_t connect_generation_ = 0;              // a change cancels a scheduled connect
    bool outage_reported_ = false;
    std::unique_ptr<WatchStream> stream_;
    // A stream may end within its own callback, so it is destroyed at the next check instead.
    std::unique_ptr<WatchStream> retired_stream_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::discovery

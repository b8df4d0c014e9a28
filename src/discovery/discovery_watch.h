// Follows the platform's discovery: a watch over HTTP/1.1 whose response stays open and carries one
// list after another. After a watch is lost, the next one resumes at the last revision that was
// applied, or starts with the complete list where that is not known.
//
//   awaiting_list  -> streaming     on the first list
//   awaiting_list  -> backing_off   on a failure, an implausible list or the first-list timeout
//   streaming      -> backing_off   on a failure, an implausible list or inactivity
//   backing_off    -> awaiting_list when the backoff has passed
//   any            -> awaiting_list on redirect(), which starts anew at another service
//
// The last valid list stays in use throughout. A list that cannot be read, an older revision and an
// empty list make the next watch request the complete list; an implausible list that the service
// repeats then is accepted.
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
        // Called once for an outage, until a list comes again.
        std::function<void(const DiscoveryError&)> on_unavailable;
    };
    struct Timeouts {
        Micros inactivity{2'600'000};  // the service sends something every 2 s
        // From the connect to the first list; doubled, up to the maximum, while none comes in time.
        Micros first_list{1'000'000};
        Micros first_list_max{3'000'000};
        Micros initial_backoff{50'000};
        Micros max_backoff{800'000};
        Micros stable_after{500'000};  // a watch that lasted this long is resumed without a backoff
        Micros check_interval{100'000};
    };
    // Resumes at `revision`; below 0 it starts with the complete list. `loop` must outlive this.
    DiscoveryWatch(event::Loop& loop, config::Endpoint service, std::int64_t revision,
                   Callbacks callbacks, Timeouts timeouts);
    DiscoveryWatch(event::Loop& loop, config::Endpoint service, std::int64_t revision,
                   Callbacks callbacks)
        : DiscoveryWatch(loop, std::move(service), revision, std::move(callbacks), Timeouts{}) {}
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;
    ~DiscoveryWatch();

    // Watches another service from now on; its revisions are its own.
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
    bool lasted_long_enough() const;
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
    std::optional<std::int64_t> unconfirmed_revision_;  // of the implausible list just before
    std::uint64_t connect_generation_ = 0;              // outdates a connect that is scheduled
    bool outage_reported_ = false;
    std::unique_ptr<WatchStream> stream_;
    // A stream may end within its own callback, so it is destroyed at the next check.
    std::unique_ptr<WatchStream> retired_stream_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::discovery

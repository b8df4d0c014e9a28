// Follows the platform's discovery: a watch over HTTP/1.1 whose answer stays open and holds one
// object after another. Which of a broken watch's changes were missed is settled by the service:
// the next watch begins at the last revision that was taken, or with the whole list where that is
// not known.
//
// The last good list stays in use whatever comes. What cannot be read, an older revision and a list
// of nobody are doubtful: the next watch asks for the whole list, and what is said twice in a row
// is believed.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event/stream.h"
#include "http/parser.h"
#include "platform/targets.h"

namespace silverreach::discovery {

class Watch {
  public:
    struct Hooks {
        std::function<void(platform::TargetList)> changed;
        std::function<void(const std::string&)> lost;  // told once, until it answers again
    };
    struct Times {
        Micros silent{2'600'000};      // the service says something every 2 s
        Micros first{1'000'000};       // from the connect to the first object,
        Micros first_most{3'000'000};  // doubled up to this while none comes in time
        Micros wait_first{50'000}, wait_most{800'000};  // before another try, doubled each time
        Micros lived{500'000};  // a watch that has told for so long is followed by the next at once
        Micros look{100'000};   // between looks at the first two
    };
    // Begins at `revision`; below 0: with the whole list.
    Watch(event::Loop& loop, config::Endpoint at, std::int64_t revision, Hooks hooks, Times times);
    Watch(event::Loop& loop, config::Endpoint at, std::int64_t revision, Hooks hooks)
        : Watch(loop, std::move(at), revision, std::move(hooks), Times{}) {}
    ~Watch();
    // Another service from now on; its revisions are its own.
    void move(config::Endpoint at);

  private:
    class Following;
    void follow();
    void lost(const std::string& why, bool lived);
    void again();
    bool doubtful(const platform::TargetList& list);

    event::Loop& loop_;
    config::Endpoint at_;
    std::int64_t revision_;
    Hooks hooks_;
    Times times_;
    Micros wait_;
    Micros first_;        // patience with the watch that runs
    bool whole_ = false;  // the whole list is asked for, whatever the revision
    std::optional<std::int64_t>
        doubted_;  // the revision of the list before, which was not believed
    std::uint64_t turn_ = 0;
    bool told_ = false;
    std::unique_ptr<Following> now_, old_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::discovery

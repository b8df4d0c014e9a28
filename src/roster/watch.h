// Follows the platform's discovery: a watch over HTTP/1.1 whose answer stays open and holds one list a line.
// Which of a broken watch's changes were missed is settled by the service: the next watch begins at the last
// revision that was taken, or with the whole list where that is not known.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/stream.h"
#include "http/parser.h"
#include "platform/targets.h"

namespace silverreach::roster {

class Watch {
  public:
    struct Hooks {
        std::function<void(platform::TargetList)> changed;
        std::function<void(const std::string&)> lost;  // told once, until it answers again
    };
    // Begins at `revision`; below 0: with the whole list.
    Watch(event::Loop& loop, config::Endpoint at, std::int64_t revision, Hooks hooks);
    ~Watch();
    // Another service from now on; its revisions are its own.
    void move(config::Endpoint at);

  private:
    class Following;
    void follow();
    void lost(const std::string& why);
    void again();

    event::Loop& loop_;
    config::Endpoint at_;
    std::int64_t revision_;
    Hooks hooks_;
    Micros wait_;
    std::uint64_t turn_ = 0;
    bool told_ = false;
    std::unique_ptr<Following> now_, old_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::roster

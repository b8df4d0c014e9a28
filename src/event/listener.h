// A listening socket. It takes connections as long as its owner has room, and through moments in
// which accept fails: none that waits in the system's queue is given up for an error that passes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/loop.h"

namespace silverreach::event {

class Listener {
  public:
    // `accepted` gets each connection and the other side's address; while `room` returns false
    // connections are closed at once. Throws std::runtime_error with a plain message.
    Listener(Loop& loop, const std::string& ip, int port, bool v6, std::function<bool()> room,
             std::function<void(Fd, std::string)> accepted);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Asked where descriptors stay short: gives up something idle; false where there is nothing.
    void on_shortage(std::function<bool()> give_up_idle) {
        give_up_idle_ = std::move(give_up_idle);
    }
    // Within `accepted`: since when the connection may have waited, with what its client wrote.
    Micros waiting_since() const { return waiting_since_; }
    int port() const { return port_; }
    // Lets no new connection come up, takes those that have, again for a while where that fails,
    // then closes.
    void stop();
    bool listening() const { return static_cast<bool>(fd_); }

  private:
    enum class Took {
        all,
        some,
        none
    };  // none: accept fails, for now
    Took accept_some();
    Took accept_failed(int error);
    void take(Fd fd, std::string client);
    void relieve(int error);
    void accept_with_spare();
    void pause();
    void take_rest();

    Loop& loop_;
    Fd fd_;
    Fd spare_;  // given up for a moment to take a connection when descriptors run out
    int port_ = 0;
    std::function<bool()> room_;
    std::function<void(Fd, std::string)> accepted_;
    std::function<bool()> give_up_idle_;
    std::unique_ptr<Io> io_;
    Micros waiting_since_{0};
    Micros unwatched_since_{0};  // the queue may have filled since then; 0: the loop looked
    Micros short_since_{0};      // of descriptors; 0: not short
    Micros stop_by_{0};          // 0: it goes on
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event

// One client's connection: commands in, answers out in the same order.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "event/arrival_log.h"
#include "frontend/resp/front.h"
#include "resp/command.h"

namespace silverreach::frontend::resp {

class Front::Connection : public event::StreamOwner {
  public:
    Connection(Front& front, event::Fd fd, Micros waiting_since);

    void answered(std::uint64_t place, std::string bytes);  // whole, as it goes out
    void close(CloseReason reason);  // at once; requests in hand have lost their client
    // Ends it with nothing owed to the client: sends no more, reads and drops what still comes
    // until the client ends as well. Closed over unread bytes the system would reset it, and with
    // it take answers that the client has not got yet.
    void leave(CloseReason reason);
    bool lingering() const { return lingering_; }
    bool left() const {
        return stream_.peer_closed();
    }  // the client has gone, though the loop has not told yet
    // Looks at the time: a connection that owes a command, or has been idle, goes.
    void look(Micros now);
    bool idle() const { return places_.empty() && in_.empty() && stream_.queued() == 0; }
    // Nor has anything come that was not read: closed now, nothing is lost.
    bool at_rest() const { return idle() && !stream_.unread(); }
    bool silent() const { return commands_ == 0 && places_.empty(); }  // not one whole command yet
    Micros since() const { return since_; }                            // of the latest sign of use

    void on_data(std::string_view bytes) override;
    void on_end() override { close(CloseReason::client_ended); }
    void on_broken(int) override { close(CloseReason::client_ended); }
    void on_drained() override;

    std::size_t slot = 0;  // where the front keeps it

  private:
    struct Place {              // of one command, until its answer has gone out
        RequestId request = 0;  // that it waits for; 0: its answer is here
        std::string bytes;
    };
    void work();
    void take_commands();
    void request(const std::vector<std::string_view>& words, Micros waited);
    void nonsense(std::string_view why);
    void say(std::string bytes);  // in its turn
    void flush();
    void fault(std::string_view why);  // one line, then the end
    bool waits_for_turn() const;       // commands, for room for their answers
    void hold();
    bool over() const;  // nothing in hand, and it is to end
    void keep(std::size_t bytes);
    std::vector<RequestId> requests_in_hand() const;
    void tell_close(CloseReason reason);
    CloseReason reason_to_end() const;

    Front& front_;
    event::Stream stream_;
    silverreach::resp::CommandReader reader_;
    std::string in_;              // what has not become a command yet
    event::ArrivalLog arrivals_;  // of what is in in_
    std::deque<Place> places_;
    std::uint64_t first_place_ = 0, commands_ = 0;
    int nonsense_in_a_row_ = 0;
    Micros opened_, since_, partial_since_{0}, slow_since_{0};
    std::size_t dropped_ = 0;  // bytes, while lingering
    bool held_ = false, working_ = false, ending_ = false, lingering_ = false, gone_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend::resp

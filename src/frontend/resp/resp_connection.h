// One RESP client's connection: commands in, responses out in the same order.
//
// States:   open -> failing -> lingering -> closed,   open -> lingering -> closed,   any -> closed
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "frontend/common/client_connection.h"
#include "frontend/resp/frontend_context.h"
#include "frontend/resp/invalid_command_throttle.h"
#include "frontend/resp/response_queue.h"
#include "resp/command_parser.h"

namespace silverreach::frontend::resp {

class RespConnection final : public ClientConnection {
  public:
    // `context` must outlive the connection.
    RespConnection(FrontendContext& context, ConnectionManager& manager, event::Fd fd,
                   Micros waiting_since);

    // The complete response to the command of that number, as it goes out.
    void on_response(std::uint64_t number, std::string response);
    // Closes at once and abandons the requests in flight. The connection is destroyed at the loop's
    // next turn.
    void close(CloseReason reason);

    EvictionPriority eviction_priority() const override;
    bool at_rest() const override;
    void evict() override { linger(CloseReason::evicted); }
    void abort_lingering() override { close(CloseReason::linger_crowded); }

    void on_data(std::string_view bytes) override;
    void on_end() override { close(CloseReason::client_ended); }
    void on_error(int) override { close(CloseReason::client_ended); }
    void on_drained() override;

  private:
    enum class State {
        open,
        failing,    // after a protocol error: sends what is owed before it, reads no command
        lingering,  // nothing is owed; waits for the client to end
        closed
    };
    enum class ReadResult {
        incomplete,   // the rest of a command is to come
        no_capacity,  // for responses
        turn_used     // more complete commands may wait for the next turn
    };

    std::optional<PendingWait> pending_wait(Wait wait) const override;
    bool on_wait_expired(Wait wait) override;

    // ---- commands ----
    void resume();
    void read_commands();
    ReadResult read_batch(std::size_t& consumed);
    void consume_input(std::size_t consumed);
    void handle_command(const std::vector<std::string_view>& words, Micros waited);
    void start_request(const std::vector<std::string_view>& words, Micros waited);
    void reject_command(std::string_view why);
    bool must_wait() const;
    void update_reading();
    void account_input(std::size_t before);  // its size before the present change

    // ---- responses and the end ----
    void flush();
    bool drained() const;
    void fail(std::string_view why);  // open -> failing: one error line, then the end
    void linger(CloseReason reason);  // open or failing -> lingering
    CloseReason end_reason() const;   // of a drained connection
    bool idle() const;
    bool discard(std::size_t bytes);  // false: beyond what is read and dropped
    void report_close(CloseReason reason);

    FrontendContext& context_;
    State state_ = State::open;
    silverreach::resp::CommandParser parser_;
    std::string input_;  // bytes that are not a command yet
    ResponseQueue responses_;
    InvalidCommandThrottle throttle_;
    bool throttled_ = false;
    bool reading_commands_ = false;  // on_response must not come back into read_commands
    std::uint64_t commands_ = 0;
    Micros opened_at_;
    Micros incomplete_since_{0};  // an unfinished command; 0: none
    Micros unread_since_{0};      // responses that the client has not read; 0: none
    std::size_t discarded_bytes_ = 0;
};

}  // namespace silverreach::frontend::resp

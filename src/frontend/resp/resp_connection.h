// One RESP client's connection: reads commands and writes the responses in the same order.
//
// States:   open -> failing -> lingering -> closed,   open -> lingering -> closed,   any -> closed
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "event/buffer_budget.h"
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

    // Receives the complete serialized response to the command of that number.
    void on_response(std::uint64_t number, std::string response);
    // Closes the connection immediately and abandons its requests in flight. The connection is
    // destroyed in the loop's next turn.
    void close(CloseReason reason);

    EvictionPriority eviction_priority() const override;
    bool is_quiescent() const override;
    void evict() override { linger(CloseReason::evicted); }
    void abort_lingering() override { close(CloseReason::linger_crowded); }
    std::size_t droppable_bytes(const event::BufferBudget& budget) const override;
    void drop(const event::BufferBudget& budget) override;

    void on_data(std::string_view bytes) override;
    void on_end() override { close(CloseReason::client_ended); }
    void on_error(int) override { close(CloseReason::client_ended); }
    void on_drained() override;

  private:
    enum class State {
        open,
        failing,    // after a protocol error: sends pending responses, reads no command
        lingering,  // no response is pending; waits for the client to close its side
        closed
    };
    enum class ReadResult {
        incomplete,         // no complete command is left
        no_capacity,        // for further responses
        turn_limit_reached  // command limit of a turn; more complete commands may be buffered
    };

    std::optional<PendingWait> pending_wait(Wait wait) const override;
    bool on_wait_expired(Wait wait) override;

    // ---- commands ----
    void resume();
    void read_commands();
    ReadResult read_batch(std::size_t& consumed);
    void consume_input(std::size_t consumed);
    void drop_input();
    void handle_command(const std::vector<std::string_view>& arguments, Micros waited);
    void start_request(const std::vector<std::string_view>& arguments, Micros waited);
    void reject_command(std::string_view reason);
    bool must_defer_commands() const;
    void update_reading();
    void update_buffered() override;

    // ---- responses and closing ----
    void flush();
    bool is_drained() const;
    void fail(std::string_view reason);  // open -> failing; sends one error reply
    void linger(CloseReason reason);     // open or failing -> lingering
    CloseReason end_reason() const;      // of a drained connection
    bool is_idle() const;
    bool discard(std::size_t bytes);  // false: above max_discarded_bytes
    void abandon(RequestId id);
    void report_close(CloseReason reason);

    FrontendContext& context_;
    State state_ = State::open;
    silverreach::resp::CommandParser parser_;
    std::string input_;                          // bytes that have not been handled yet
    event::BufferBudget::Reservation buffered_;  // for input_
    ResponseQueue responses_;
    event::BufferBudget::Reservation in_hand_;  // for responses_ and unread bytes
    InvalidCommandThrottle throttle_;
    bool throttled_ = false;
    bool has_unfinished_command_ =
        false;                       // input_ holds the beginning of one command, nothing else
    bool reading_commands_ = false;  // keeps on_response from re-entering read_commands
    std::uint64_t commands_ = 0;
    Micros opened_at_;
    // Since when the input begins with an unfinished command that the client can complete; none:
    // there is none, or commands are deferred.
    std::optional<Micros> unfinished_since_;
    std::size_t discarded_bytes_ = 0;
};

}  // namespace silverreach::frontend::resp

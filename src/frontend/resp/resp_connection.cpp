#include "frontend/resp/resp_connection.h"

#include <algorithm>
#include <utility>

#include "frontend/common/connection_manager.h"
#include "resp/serializer.h"

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;
namespace wire = silverreach::resp;
constexpr Micros first_command_timeout = 2s;
constexpr Micros command_timeout = 2s;  // from the time at which only the client holds it up
constexpr Micros idle_timeout = 8s;
constexpr Micros unread_timeout = 5s;  // without any progress of the client
constexpr Micros linger_timeout = 300ms;
constexpr Micros response_margin = 5ms;  // reserved for the response's transfer and this loop
constexpr std::size_t max_responses = 64;
constexpr std::size_t max_commands_per_turn = 64;
constexpr std::size_t max_unread_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_discarded_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_read_ahead_bytes = std::size_t{32} * 1024;
constexpr std::size_t guaranteed_input_bytes = 4096;  // per connection, regardless of the budget
constexpr std::size_t idle_input_capacity = 4096;     // bytes that an empty buffer keeps allocated
}  // namespace

RespConnection::RespConnection(FrontendContext& context, ConnectionManager& manager, event::Fd fd,
                               Micros waiting_since)
    : ClientConnection(manager, std::move(fd), waiting_since),
      context_(context),
      buffered_(context.buffer_budget),
      in_hand_(context.in_hand_budget),
      opened_at_(loop().now()) {}

// ---- commands -------------------------------------------------------------------------------

bool RespConnection::discard(std::size_t bytes) {
    discarded_bytes_ += bytes;
    return discarded_bytes_ <= max_discarded_bytes;
}

void RespConnection::on_data(std::string_view bytes) {
    if (state_ == State::closed) return;
    if (state_ == State::lingering) {
        if (!discard(bytes.size())) close(CloseReason::linger_flood);
        return;
    }
    // If the client has closed its side after these bytes, it does not wait for a response.
    if (peer_closed()) return close(CloseReason::client_ended);
    start_wait(loop().now());
    if (state_ == State::failing) {
        if (!discard(bytes.size())) stream().set_reading(false);
        return;
    }
    input_.append(bytes);
    update_buffered();
    arrivals().record(bytes.size(), stream().arrived_at());
    read_commands();
}

// The client may have closed its side while its commands waited here; the loop does not report that
// while unread bytes precede it.
void RespConnection::resume() {
    if (!reading_commands_ && state_ != State::closed && peer_closed())
        return close(CloseReason::client_ended);
    read_commands();
}

void RespConnection::read_commands() {
    if (reading_commands_ || state_ != State::open) return;
    reading_commands_ = true;
    std::size_t consumed = 0;
    const ReadResult result = read_batch(consumed);
    reading_commands_ = false;
    // A malformed frame with no response pending before it makes the connection linger at once.
    if (state_ == State::closed || state_ == State::lingering) return;
    consume_input(consumed);
    flush();
    if (state_ == State::closed) return;
    // flush may have removed the reason for stopping, and no other event would resume reading.
    const bool resume_later = result == ReadResult::turn_limit_reached ||
                              (result == ReadResult::no_capacity && !must_defer_commands());
    has_unfinished_command_ = result == ReadResult::incomplete && !input_.empty();
    manager().enforce(context_.buffer_budget);
    if (state_ == State::closed || state_ == State::lingering) return;
    update_reading();
    if (resume_later) call_later(0us, [this] { resume(); });
}

// Handles complete commands while there is capacity for their responses.
RespConnection::ReadResult RespConnection::read_batch(std::size_t& consumed) {
    std::string_view rest = input_;
    for (std::size_t handled = 0; state_ == State::open && !rest.empty(); ++handled) {
        if (must_defer_commands()) return ReadResult::no_capacity;
        if (handled == max_commands_per_turn) return ReadResult::turn_limit_reached;
        const wire::ParseStatus status = parser_.parse(rest);
        if (status == wire::ParseStatus::incomplete) break;
        if (status == wire::ParseStatus::malformed) {
            ++context_.counters.protocol_errors;
            fail(wire::to_string(parser_.error()));
            break;
        }
        ++commands_;
        std::vector<std::string_view> arguments;
        for (std::size_t i = 0; i < parser_.argument_count(); ++i)
            arguments.push_back(parser_.argument(rest, i));
        consumed += parser_.consumed();
        const Micros now = loop().now();
        handle_command(arguments, now - arrivals().arrival_time(consumed, now));
        rest = std::string_view(input_).substr(consumed);
        parser_.reset();
    }
    return ReadResult::incomplete;
}

void RespConnection::consume_input(std::size_t consumed) {
    input_.erase(0, consumed);
    arrivals().consume(consumed);
    // The bytes after a malformed frame cannot be parsed as commands.
    if (input_.empty() || state_ != State::open) return drop_input();
    update_buffered();
    if (consumed > 0) unfinished_since_.reset();
}

void RespConnection::drop_input() {
    input_.clear();
    if (input_.capacity() > idle_input_capacity) input_.shrink_to_fit();
    update_buffered();
    arrivals().consume_all();
    unfinished_since_.reset();
}

// Commands that are complete are never dropped.
std::size_t RespConnection::droppable_bytes(const event::BufferBudget& budget) const {
    if (&budget == &context_.in_hand_budget)
        return state_ == State::closed ? 0 : stream().queued_bytes();
    const bool input_in_use = reading_commands_;
    if (state_ != State::open || input_in_use || !has_unfinished_command_) return 0;
    return input_.size() > guaranteed_input_bytes ? input_.size() : 0;
}

void RespConnection::drop(const event::BufferBudget& budget) {
    ++context_.counters.buffer_limit_reached;
    if (&budget == &context_.in_hand_budget) return close(CloseReason::answers_unread);
    fail("too much in hand");
}

void RespConnection::update_buffered() {
    if (state_ == State::closed) return;
    buffered_.resize(input_.size());
    in_hand_.resize(responses_.held_bytes() + stream().queued_bytes());
    manager().enforce_later(context_.in_hand_budget);
}

// While the budget is exceeded, a connection has one command in hand at a time.
bool RespConnection::must_defer_commands() const {
    const bool has_work = !responses_.empty() || stream().queued_bytes() > 0;
    return throttled_ || (has_work && context_.in_hand_budget.exceeded()) ||
           responses_.size() >= max_responses || stream().queued_bytes() >= max_unread_bytes;
}

// Reads ahead of the capacity for responses, so that the client's close is detected behind waiting
// commands, but not while all connections together exceed the buffer budget.
void RespConnection::update_reading() {
    const bool deferred = must_defer_commands();
    std::size_t max_buffered = wire::ParseLimits{}.max_message_bytes;
    if (deferred) max_buffered = context_.buffer_budget.exceeded() ? 0 : max_read_ahead_bytes;
    stream().set_reading(input_.size() <= max_buffered);
    // While commands are deferred, the connection holds up the command and not the client.
    if (deferred || !has_unfinished_command_)
        unfinished_since_.reset();
    else if (!unfinished_since_)
        unfinished_since_ = loop().now();
}

void RespConnection::handle_command(const std::vector<std::string_view>& arguments, Micros waited) {
    const std::string_view command = arguments.front();
    if (platform::CommandValidator::is_request(command)) return start_request(arguments, waited);
    if (command == "PING" && arguments.size() == 1) return responses_.add_ready("+PONG\r\n");
    if (command == "PING" && arguments.size() == 2) {
        std::string response;
        wire::append_bulk(response, arguments[1]);
        return responses_.add_ready(std::move(response));
    }
    if (command == "CLIENT" || command == "SELECT") return responses_.add_ready("+OK\r\n");
    reject_command("unknown command");
}

// `waited`: the time since the command's last byte arrived.
void RespConnection::start_request(const std::vector<std::string_view>& arguments, Micros waited) {
    platform::Request request = context_.validator.validate(arguments);
    if (!request.error.empty()) return reject_command(request.error);
    if (context_.requests.has_client_id(request.id))
        return reject_command("id: a request of that name is open");
    if (context_.requests.is_held(request.id, loop().now())) {
        ++context_.counters.invalid_commands;
        return responses_.add_ready("-ERR id: a request of that name may be running\r\n");
    }
    const Micros drain_remaining = manager().drain().time_remaining(loop().now());
    Micros& time_remaining = request.client_request.time_remaining;
    time_remaining = std::min(time_remaining - waited, drain_remaining) - response_margin;
    if (time_remaining <= 0us) return responses_.add_ready("-BUSY\r\n");
    throttle_.on_valid();
    const RequestId id = context_.core.next_id();
    const std::uint64_t number = responses_.add_pending(id, request.upstream_command.size());
    update_buffered();
    context_.requests.add(
        id,
        {this, number, request.id, loop().now(), loop().now() + time_remaining,
         std::make_shared<const platform::UpstreamCommand>(std::move(request.upstream_command))});
    context_.core.start_request(context_.clock(), id, request.client_request);
}

void RespConnection::reject_command(std::string_view reason) {
    ++context_.counters.invalid_commands;
    const Micros pause = throttle_.on_invalid();
    if (pause > 0us && !throttled_) {
        throttled_ = true;
        call_later(pause, [this] {
            throttled_ = false;
            resume();
        });
    }
    responses_.add_ready("-ERR " + std::string(reason) + "\r\n");
}

// ---- responses ------------------------------------------------------------------------------

void RespConnection::on_response(std::uint64_t number, std::string response) {
    if (state_ == State::closed || !responses_.complete(number, std::move(response))) return;
    update_buffered();
    if (reading_commands_) return;
    flush();
    if (state_ == State::closed) return;
    if (!input_.empty())
        resume();
    else
        update_reading();
}

void RespConnection::flush() {
    const std::string out = responses_.take_ready();
    if (!out.empty()) {
        start_wait(loop().now());
        stream().write(out);
    }
    update_buffered();
    if (is_drained()) linger(end_reason());
}

void RespConnection::on_drained() {
    update_buffered();
    if (is_drained()) return linger(end_reason());
    if (!input_.empty())
        resume();
    else
        update_reading();
}

// ---- timeouts -------------------------------------------------------------------------------

std::optional<ClientConnection::PendingWait> RespConnection::pending_wait(Wait wait) const {
    if ((state_ == State::lingering) != (wait == Wait::client_close)) return std::nullopt;
    switch (wait) {
        case Wait::client_close:
            return PendingWait{wait_started(), linger_timeout};
        case Wait::first_message:
            if (!responses_.empty() || commands_ > 0) return std::nullopt;
            return PendingWait{wait_started(), first_command_timeout};
        case Wait::idle:
            if (!responses_.empty() || commands_ == 0) return std::nullopt;
            return PendingWait{wait_started(), idle_timeout};
        case Wait::drain:
            if (!is_drained()) return std::nullopt;
            return PendingWait{loop().now(), 0us};
        case Wait::message_completion:
            if (state_ != State::open || !unfinished_since_) return std::nullopt;
            return PendingWait{*unfinished_since_, command_timeout};
        case Wait::response_read:
            if (stream().queued_bytes() == 0) return std::nullopt;
            return PendingWait{stream().queue_progress_at(), unread_timeout};
    }
    return std::nullopt;
}

bool RespConnection::on_wait_expired(Wait wait) {
    switch (wait) {
        case Wait::client_close:
            close(CloseReason::linger_over);
            return true;
        case Wait::first_message:
            ++context_.counters.silent;
            linger(CloseReason::no_command);
            return true;
        case Wait::idle:
            if (!is_quiescent()) return false;
            linger(CloseReason::idle);
            return true;
        case Wait::drain:
            linger(end_reason());
            return true;
        case Wait::message_completion:
            ++context_.counters.protocol_errors;
            fail("a command not finished in time");
            return true;
        case Wait::response_read:
            close(CloseReason::answers_unread);
            return true;
    }
    return false;
}

// ---- closing --------------------------------------------------------------------------------

bool RespConnection::is_idle() const {
    return responses_.empty() && input_.empty() && stream().queued_bytes() == 0;
}

bool RespConnection::is_quiescent() const {
    return is_idle() && !stream().has_unread_input();
}

ClientConnection::EvictionPriority RespConnection::eviction_priority() const {
    if (commands_ == 0 && responses_.empty()) return EvictionPriority::no_message;
    return is_idle() ? EvictionPriority::idle : EvictionPriority::none;
}

// Whether no response is pending and the connection must end.
bool RespConnection::is_drained() const {
    if (state_ == State::lingering) return false;
    if (!responses_.empty() || stream().queued_bytes() > 0) return false;
    if (state_ == State::failing) return true;
    const DrainManager& drain = manager().drain();
    return drain.is_draining() && (is_quiescent() || drain.time_remaining(loop().now()) <= 0us);
}

CloseReason RespConnection::end_reason() const {
    return state_ == State::failing ? CloseReason::protocol_error : CloseReason::draining;
}

void RespConnection::fail(std::string_view reason) {
    // The responses to earlier commands are sent first.
    responses_.add_ready("-ERR Protocol error: " + std::string(reason) + "\r\n");
    state_ = State::failing;
    if (!reading_commands_) drop_input();
    flush();
}

void RespConnection::linger(CloseReason reason) {
    if (state_ == State::closed || state_ == State::lingering) return;
    state_ = State::lingering;
    report_close(reason);
    start_wait(loop().now());
    drop_input();
    start_lingering_close();
}

void RespConnection::close(CloseReason reason) {
    if (state_ == State::closed) return;
    state_ = State::closed;
    report_close(reason);
    stream().close();
    buffered_.resize(0);
    in_hand_.resize(0);
    const std::vector<RequestId> abandoned = responses_.pending();
    for (const RequestId id : abandoned)
        abandon(id);
    schedule_deletion();
    for (const RequestId id : abandoned)
        context_.core.on_client_disconnected(context_.clock(), id);
}

// What the host may be running is not run again under the same id before its time is over: the host
// of a second attempt need not know of the first one.
void RespConnection::abandon(RequestId id) {
    const auto request = context_.requests.take(id);
    if (!request || !request->command->has_effect || !context_.core.may_have_run(id)) return;
    context_.requests.hold_client_id(request->client_id, request->deadline);
}

void RespConnection::report_close(CloseReason reason) {
    context_.report_close({reason, responses_.pending().size(), loop().now() - opened_at_});
}

}  // namespace silverreach::frontend::resp

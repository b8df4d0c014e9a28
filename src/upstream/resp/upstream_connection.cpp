#include "upstream/resp/upstream_connection.h"

#include <chrono>
#include <utility>

#include "upstream/resp/health_check.h"

namespace silverreach::upstream_resp {
namespace {
using namespace std::chrono_literals;
// Longest pause within an incomplete reply. A host writes a reply in one piece, and a lost packet
// delays it by about 200 ms.
constexpr Micros stall_timeout = 250ms;
// Longest time until all bytes of a command have been sent. After it the deadline in the command
// would be wrong.
constexpr Micros send_timeout = 100ms;
// A reply up to this size is read regardless of the bytes that other connections buffer.
constexpr std::size_t guaranteed_reply_bytes = std::size_t{64} * 1024;

HostResponse make_response(Outcome outcome) {
    HostResponse response;
    response.outcome = outcome;
    return response;
}
}  // namespace

UpstreamConnection::UpstreamConnection(ConnectionContext& context, upstream::HostConnections& host,
                                       event::Fd fd)
    : PooledConnection(context.loop, context.pool, host, std::move(fd)),
      context_(context),
      reader_(context.buffer_budget) {}

// ---- request ----

void UpstreamConnection::begin_attempt(const core::AttemptKey& key,
                                       std::shared_ptr<const platform::UpstreamCommand> command) {
    command_ = std::move(command);
    begin(key);
}

void UpstreamConnection::begin_health_check(std::string command) {
    health_check_command_ = std::move(command);
    begin(upstream::health_check_key);
}

void UpstreamConnection::begin(const core::AttemptKey& key) {
    begin_exchange(key);
    if (is_health_check()) start_health_check_timer();
    if (state() == State::starting)
        write_request();
    else if (state() == State::connecting)
        start_connect_timer();
}

void UpstreamConnection::move_exchange() {
    const core::AttemptKey moved_key = key();
    std::shared_ptr<const platform::UpstreamCommand> command = command_;
    release(false);
    context_.mover.move_exchange(moved_key, host().host, std::move(command));
}

void UpstreamConnection::write_request() {
    if (!is_health_check()) return write_attempt();
    mark_request_written();
    stream().write(std::exchange(health_check_command_, {}));
}

void UpstreamConnection::write_attempt() {
    const std::uint64_t exchange = exchange_id();
    const std::optional<Micros> time_left = context_.callbacks.begin_send(key());
    if (!is_current_exchange(exchange)) return;  // the callback withdrew the attempt
    if (!time_left) return end_unsent();
    mark_request_written();
    stream().write(command_->serialize(*time_left));
    if (stream().queued_bytes() > 0) start_send_timer();
}

// ---- response ----

void UpstreamConnection::on_response_bytes(std::string_view bytes) {
    last_bytes_at_ = now();
    switch (reader_.append(bytes)) {
        case resp::ParseStatus::incomplete:
            return on_incomplete_reply(reader_.buffered() == bytes.size());
        case resp::ParseStatus::malformed:
            return fail_malformed();
        case resp::ParseStatus::complete:
            return on_complete_reply();
    }
}

void UpstreamConnection::on_incomplete_reply(bool first_bytes) {
    if (context_.buffer_budget.exceeded() && reader_.buffered() > guaranteed_reply_bytes)
        return fail_malformed();
    if (first_bytes) start_stall_timer(stall_timeout);
}

void UpstreamConnection::on_complete_reply() {
    const bool has_trailing_bytes = reader_.has_trailing_bytes();
    if (has_trailing_bytes) ++context_.counters.trailing_bytes;
    // If the reply came before the complete command was sent, the host would read the rest of the
    // command as the next one.
    const bool reusable = !has_trailing_bytes && request_sent();
    const bool error_line = reader_.is_error_line();
    if (is_health_check()) return finish(parse_health_check_reply(reader_.take()), reusable);
    HostResponse response = parse_response(reader_.take());
    const bool is_malformed = response.outcome == Outcome::error && !error_line;
    if (is_malformed) ++context_.counters.malformed;
    finish(std::move(response), reusable && !is_malformed);
}

void UpstreamConnection::on_exchange_error(int error) {
    if (!is_connected() && event::is_local_shortage(error)) return end_unsent();
    fail_connection_lost();
}

// ---- time limits ----

void UpstreamConnection::start_connect_timer() {
    after_in_exchange(context_.limits.connect_timeout, [this] {
        if (!is_connected()) finish(make_response(Outcome::connect_failed), true);
    });
}

void UpstreamConnection::start_health_check_timer() {
    after_in_exchange(context_.limits.health_check_timeout,
                      [this] { finish(make_response(Outcome::timeout), !is_connected()); });
}

void UpstreamConnection::start_send_timer() {
    after_in_exchange(send_timeout, [this] {
        if (!request_sent()) fail_connection_lost();
    });
}

void UpstreamConnection::start_stall_timer(Micros wait) {
    after_in_exchange(wait, [this] {
        const Micros time_since_bytes = now() - last_bytes_at_;
        if (time_since_bytes < stall_timeout)
            return start_stall_timer(stall_timeout - time_since_bytes);
        ++context_.counters.stalled;
        finish(make_response(Outcome::error), false);
    });
}

// ---- end of the exchange ----

void UpstreamConnection::abandon() {
    release(!request_written());
}

void UpstreamConnection::end_unsent() {
    finish(make_response(Outcome::not_started), !request_written());
}

// The command cannot have run before its last byte has been sent.
void UpstreamConnection::fail_connection_lost() {
    finish(make_response(request_sent() ? Outcome::reset : Outcome::connect_failed), false);
}

void UpstreamConnection::fail_malformed() {
    ++context_.counters.malformed;
    finish(make_response(Outcome::error), false);
}

void UpstreamConnection::finish(HostResponse response, bool reusable) {
    const core::AttemptKey ended_key = key();
    const Micros duration = elapsed();
    const std::string host_name = host().host;
    release(reusable);
    if (ended_key == upstream::health_check_key)
        return context_.callbacks.on_health_check_ended(
            {host_name, response.outcome, duration, response.report});
    context_.callbacks.on_attempt_ended(ended_key, host_name, duration, std::move(response));
}

void UpstreamConnection::release(bool reusable) {
    end_exchange();
    command_.reset();
    health_check_command_.clear();
    reader_.reset();
    if (!is_health_check()) context_.attempts.erase(key());
    context_.pool.release(*this, reusable);
}

}  // namespace silverreach::upstream_resp

#include "frontend/http/http_connection.h"

#include <algorithm>
#include <utility>

#include "frontend/common/connection_manager.h"

namespace silverreach::frontend::http {
namespace {
using namespace std::chrono_literals;
using std::chrono::milliseconds;
constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;  // above this, reading stops
constexpr std::size_t max_header_fields = 100;
constexpr std::size_t max_unread_bytes = std::size_t{256} * 1024;
constexpr std::size_t guaranteed_bytes = 4096;  // per connection, regardless of the budget
constexpr Micros linger_timeout = 1s;
constexpr Micros min_check_period = 250ms;
constexpr int idle_checks_per_timeout = 4;

wire::HeadLimits head_limits(const config::Listen& listen) {
    return {static_cast<std::size_t>(listen.max_target_bytes()),
            static_cast<std::size_t>(listen.max_head_bytes()), max_header_fields};
}
}  // namespace

HttpConnection::HttpConnection(FrontendContext& context, ConnectionManager& manager, event::Fd fd,
                               std::string client_address, Micros waiting_since)
    : ClientConnection(manager, std::move(fd), waiting_since),
      context_(context),
      parser_(wire::Parser::Kind::request, *this, head_limits(context.config.listen())),
      client_address_(std::move(client_address)),
      buffered_(context.buffer_budget) {
    check_timeouts_periodically();
}

// At the end of the process, an end in order could look like the end of a complete response.
// For the attribute see ~ClientConnection.
[[gnu::no_sanitize("vptr")]] HttpConnection::~HttpConnection() {
    if (state_ == State::streaming_response || stream().queued_bytes() > 0) stream().reset();
}

// ---- requests -------------------------------------------------------------------------------

void HttpConnection::on_data(std::string_view bytes) {
    if (!accepts_input()) return;
    arrivals().record(bytes.size(), stream().arrived_at());
    if (!is_reading() || !pending_input_.empty() || must_defer_requests()) {
        pending_input_.append(bytes);
        if (pending_input_.size() > max_pending_bytes) stream().set_reading(false);
        if (is_reading()) process_pending();
    } else {
        const std::size_t consumed = feed_parser(bytes);
        // Bytes after the end of this request belong to the next one.
        if (accepts_input() && consumed < bytes.size())
            pending_input_.append(bytes.substr(consumed));
        forward_if_complete();
    }
    update_buffered();
    manager().enforce(context_.buffer_budget);
}

// A request's time starts with the arrival of its first byte, even if the request was buffered
// behind an earlier one.
std::size_t HttpConnection::feed_parser(std::string_view bytes) {
    if (parser_.idle()) start_wait(arrivals().arrival_time(1, loop().now()));
    const std::size_t consumed = parser_.feed(bytes);
    arrivals().consume(consumed);
    return consumed;
}

void HttpConnection::process_pending() {
    while (is_reading() && !pending_input_.empty() && !must_defer_requests()) {
        const std::string bytes = std::exchange(pending_input_, {});
        const std::size_t consumed = feed_parser(bytes);
        if (!accepts_input()) return;
        pending_input_.assign(bytes, consumed);
        if (request_ && request_->body_complete)
            forward_if_complete();
        else if (consumed == 0)
            break;
    }
    if (state_ == State::closed) return;
    if (pending_input_.size() <= max_pending_bytes && state_ != State::lingering)
        stream().set_reading(true);
    if (half_closed_ && is_reading() && !must_defer_requests()) linger();
    update_buffered();
}

bool HttpConnection::must_defer_requests() const {
    return parser_.idle() && stream().queued_bytes() > max_unread_bytes;
}

bool HttpConnection::on_head(wire::Head& head) {
    request_ = make_client_request(head, wait_started(), context_);
    if (const auto rejection = check_request(*request_, context_)) {
        reply_locally(local_reply(rejection->error), rejection->log_reason);
        return false;
    }
    if (expects_continue(request_->head)) stream().write("HTTP/1.1 100 Continue\r\n\r\n");
    state_ = State::reading_body;
    start_wait(loop().now());
    return true;
}

void HttpConnection::on_body(std::string_view bytes) {
    if (state_ != State::reading_body) return;
    if (request_->body.size() + bytes.size() > max_body_bytes(context_))
        return reply_locally(local_reply(body_too_large(context_)), "bad-request");
    request_->body.append(bytes);
}

void HttpConnection::on_message_end(wire::Fields&) {
    if (state_ == State::reading_body) request_->body_complete = true;
}

void HttpConnection::on_fault(const wire::Fault& fault) {
    // The parser reads on after a reply that ended the request, up to the end of the bytes.
    if (!accepts_input()) return;
    if (!request_) {
        request_ = std::make_unique<ClientRequest>();
        request_->received_at = wait_started();
    }
    request_->client.keep_alive = false;
    const RequestError error{fault.status, std::string(wire::reason_phrase(fault.status)),
                             std::string(fault.reason)};
    reply_locally(local_reply(error), "bad-request");
}

void HttpConnection::forward_if_complete() {
    if (state_ == State::reading_body && request_->body_complete) forward_request();
}

void HttpConnection::forward_request() {
    state_ = State::awaiting_response;
    const Micros now = loop().now();
    request_->upstream = make_upstream_request(*request_, client_address_, context_.via);
    const core::ClientRequest core_request =
        make_core_request(*request_, client_address_, context_, now);
    const RequestId id = request_->id = context_.core.next_id();
    context_.in_flight[id] = this;
    context_.core.start_request(now, id, core_request);
}

std::shared_ptr<const upstream_http::UpstreamRequest> HttpConnection::upstream_request() const {
    return request_->upstream;
}

// ---- responses ------------------------------------------------------------------------------

void HttpConnection::reply_locally(const LocalReply& reply, std::string_view log_reason) {
    ClientRequest& request = *request_;
    // The rest of a body that was not read completely would be parsed as the next request.
    if (!request.body_complete || is_last_response()) request.client.keep_alive = false;
    request.client.date = context_.date_cache.current_text();
    stream().write(serialize(reply, request.client, request.identity.request_id));
    log_access(reply.status, log_reason);
    finish_exchange();
}

void HttpConnection::finish(const core::FinalResponse& response) {
    if (state_ != State::awaiting_response) return;
    const LocalReply reply = local_reply(response);
    reply_locally(reply, reply.type);
}

void HttpConnection::start_response(wire::Head& head, ResponseWriter::PauseHost pause_host) {
    if (state_ != State::awaiting_response) return;
    ClientRequest& request = *request_;
    state_ = State::streaming_response;
    request.response_status = head.status;
    request.client.date = context_.date_cache.current_text();
    if (is_last_response()) request.client.keep_alive = false;
    Framing framing = Framing::none;
    const std::string translated = response_head_for_client(
        head, request.client, request.identity.request_id, context_.via, framing);
    request.response.start(stream(), translated, framing, std::move(pause_host));
    if (framing == Framing::until_close) request.client.keep_alive = false;
}

void HttpConnection::append_body(std::string_view bytes) {
    if (state_ != State::streaming_response) return;
    request_->response.write_body(stream(), bytes);
    update_buffered();
    manager().enforce_later(context_.buffer_budget);
}

void HttpConnection::on_drained() {
    update_buffered();
    if (state_ == State::streaming_response) return request_->response.on_drained();
    if (state_ == State::lingering && half_closed_) return close();
    if (is_reading() && !pending_input_.empty()) process_pending();
}

void HttpConnection::end_response(const wire::Fields& trailers) {
    if (state_ != State::streaming_response) return;
    ClientRequest& request = *request_;
    request.response.finish(stream(), trailers, request.client.accepts_trailers);
    log_access(request.response_status, "served");
    finish_exchange();
}

void HttpConnection::abort_response(std::string_view reason) {
    if (state_ != State::streaming_response) return;
    log_access(request_->response_status, reason);
    context_.in_flight.erase(request_->id);
    stream().reset();
    close();
}

// While draining, a response is the last one if no further request has been received.
bool HttpConnection::is_last_response() const {
    return manager().drain().is_draining() && pending_input_.empty() &&
           !stream().has_unread_input();
}

void HttpConnection::finish_exchange() {
    // A client that has ended its side is answered what it sent before.
    const bool input_left = !half_closed_ || !pending_input_.empty();
    const bool keep_alive = request_->client.keep_alive && input_left;
    context_.in_flight.erase(request_->id);
    request_.reset();
    start_wait(loop().now());
    if (!keep_alive) return linger();
    state_ = State::reading_head;
    parser_.reset();
    if (pending_input_.empty()) return;
    // Deferred because processing the next request within the call that delivered the response
    // would let a client nest calls without limit.
    call_later(0us, [this] {
        if (is_reading()) process_pending();
    });
}

void HttpConnection::linger() {
    state_ = State::lingering;
    pending_input_ = std::string();
    start_lingering_close();
    if (half_closed_ && stream().queued_bytes() == 0) close();
}

// ---- buffers --------------------------------------------------------------------------------

std::size_t HttpConnection::input_bytes() const {
    std::size_t bytes = parser_.buffered_bytes() + pending_input_.capacity();
    if (!request_) return bytes;
    bytes += request_->body.capacity();
    if (request_->upstream)
        bytes += request_->upstream->head.size() + request_->upstream->body.size();
    return bytes;
}

void HttpConnection::update_buffered() {
    if (state_ != State::closed) buffered_.resize(input_bytes() + stream().queued_bytes());
}

// An unfinished request, or unread responses. A complete request is never dropped.
std::size_t HttpConnection::droppable_bytes(const event::BufferBudget&) const {
    if (state_ == State::closed) return 0;
    const std::size_t unfinished = is_reading() && is_receiving() ? input_bytes() : 0;
    const std::size_t bytes = std::max(unfinished, stream().queued_bytes());
    return bytes > guaranteed_bytes ? bytes : 0;
}

void HttpConnection::drop(const event::BufferBudget&) {
    ++context_.buffer_limit_reached;
    if (is_reading() && is_receiving() && stream().queued_bytes() <= guaranteed_bytes) {
        on_fault({503, "too much in hand"});
        parser_.reset();
        return update_buffered();
    }
    // A reset, because an end in order could look like the end of a complete response.
    ++context_.closed_with_unsent_bytes;
    abandon_request();
    stream().reset();
    close();
}

// ---- disconnection --------------------------------------------------------------------------

// If clients may close their side and still wait for the response, a closed side does not mean that
// the client has disconnected.
bool HttpConnection::answers_half_closed() const {
    return context_.config.listen().half_closed() == config::Listen::ANSWER;
}

void HttpConnection::on_end() {
    half_closed_ = true;
    if (state_ == State::lingering) {
        if (stream().queued_bytes() == 0) close();
        return;
    }
    // Responses that are still queued reach the client.
    if (state_ == State::reading_head && pending_input_.empty()) return linger();
    if (!answers_half_closed()) return disconnect();
    // The requests that are in hand are answered; the connection ends after the last one.
    if (is_reading()) process_pending();
}

void HttpConnection::check_client_connected() {
    if (answers_half_closed() || state_ == State::closed || !peer_closed()) return;
    disconnect();
}

void HttpConnection::on_error(int) {
    if (state_ != State::closed) disconnect();
}

void HttpConnection::abandon_request() {
    if (state_ != State::awaiting_response && state_ != State::streaming_response) return;
    const RequestId id = request_->id;
    log_access(request_->response_status, "left");
    context_.in_flight.erase(id);
    state_ = State::abandoned;
    context_.core.on_client_disconnected(loop().now(), id);
}

void HttpConnection::disconnect() {
    abandon_request();
    close();
}

void HttpConnection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    stream().close();
    buffered_.resize(0);
    schedule_deletion();
}

bool HttpConnection::has_unfinished_work() const {
    if (state_ == State::closed) return false;
    if (state_ == State::lingering) return stream().queued_bytes() > 0;
    return !is_reading() || is_receiving() || !pending_input_.empty() ||
           stream().queued_bytes() > 0 || stream().has_unread_input();
}

// ---- timeouts -------------------------------------------------------------------------------

bool HttpConnection::is_receiving() const {
    return state_ == State::reading_body || (state_ == State::reading_head && !parser_.idle());
}

std::optional<ClientConnection::PendingWait> HttpConnection::pending_wait(Wait wait) const {
    const config::Listen& listen = context_.config.listen();
    const bool all_sent = stream().queued_bytes() == 0;
    // The client can close its side, or send its next request, once everything has been sent.
    const Micros client_turn_at = std::max(wait_started(), stream().queue_progress_at());
    switch (wait) {
        case Wait::client_close:
            if (state_ != State::lingering || !all_sent) return std::nullopt;
            return PendingWait{client_turn_at, linger_timeout};
        case Wait::idle:
            if (!is_reading() || is_receiving() || !all_sent) return std::nullopt;
            return PendingWait{client_turn_at, milliseconds(listen.idle_ms())};
        case Wait::message_completion:
            if (!is_receiving()) return std::nullopt;
            return PendingWait{
                wait_started(),
                milliseconds(state_ == State::reading_body ? listen.body_ms() : listen.head_ms())};
        case Wait::response_read:
            if (all_sent) return std::nullopt;
            return PendingWait{stream().queue_progress_at(), milliseconds(listen.stalled_ms())};
        case Wait::first_message:  // covered by the idle timeout
        case Wait::drain:          // the last response closes the connection
            return std::nullopt;
    }
    return std::nullopt;
}

bool HttpConnection::on_wait_expired(Wait wait) {
    switch (wait) {
        case Wait::client_close:
        case Wait::idle:
            close();
            return true;
        case Wait::message_completion:
            on_fault({408, state_ == State::reading_body ? "the body did not come in time"
                                                         : "the head did not come in time"});
            return true;
        case Wait::response_read:
            // A reset, because an end in order could look like the end of a complete response.
            ++context_.closed_with_unsent_bytes;
            abandon_request();
            stream().reset();
            close();
            return true;
        case Wait::first_message:
        case Wait::drain:
            break;
    }
    return false;
}

// Checks less often while idle, so that ten thousand idle clients cost little.
void HttpConnection::check_timeouts_periodically() {
    check_timeouts();
    if (state_ == State::closed) return;
    const config::Listen& listen = context_.config.listen();
    Micros period = min_check_period;
    if (is_reading() && !is_receiving())
        period =
            std::max<Micros>(period, milliseconds(std::min(listen.idle_ms(), listen.head_ms())) /
                                         idle_checks_per_timeout);
    call_later(period, [this] {
        if (state_ != State::closed) check_timeouts_periodically();
    });
}

void HttpConnection::log_access(int status, std::string_view reason) {
    context_.callbacks.log_access(
        make_access_log_entry(*request_, client_address_, status, reason, loop().now()));
}

}  // namespace silverreach::frontend::http

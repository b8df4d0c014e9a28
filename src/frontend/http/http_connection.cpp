#include "frontend/http/http_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "frontend/common/connection_manager.h"

namespace silverreach::frontend::http {
namespace {
using namespace std::chrono_literals;
using std::chrono::milliseconds;
constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;  // then reading stops
constexpr std::size_t max_header_fields = 100;
constexpr Micros linger_timeout = 1s;
constexpr Micros min_check_period = 250ms;
constexpr int idle_checks_per_timeout = 4;

wire::HeadLimits head_limits(const config::Listen& listen) {
    return {static_cast<std::size_t>(listen.max_target_bytes()),
            static_cast<std::size_t>(listen.max_head_bytes()), max_header_fields};
}
}  // namespace

HttpConnection::HttpConnection(FrontendContext& context, ConnectionManager& manager, event::Fd fd,
                               std::string client, Micros waiting_since)
    : ClientConnection(manager, std::move(fd), waiting_since),
      context_(context),
      parser_(wire::Parser::Kind::request, *this, head_limits(context.config.listen())),
      client_(std::move(client)) {
    check_timeouts_periodically();
}

// ---- requests -------------------------------------------------------------------------------

void HttpConnection::on_data(std::string_view bytes) {
    if (!accepts_input()) return;
    arrivals_.add(bytes.size(), stream().arrived());
    if (!reading() || !pending_.empty()) {
        pending_.append(bytes);
        if (pending_.size() > max_pending_bytes) stream().read(false);
        if (reading()) process_pending();
        return;
    }
    const std::size_t consumed = feed_parser(bytes);
    // What one request leaves over belongs to the next.
    if (accepts_input() && consumed < bytes.size()) pending_.append(bytes.substr(consumed));
    forward_if_complete();
}

// A request's time runs from the arrival of its first byte, also where it waited for its turn.
std::size_t HttpConnection::feed_parser(std::string_view bytes) {
    if (parser_.idle()) wait_started_ = arrivals_.time_of(1, loop().now());
    const std::size_t consumed = parser_.feed(bytes);
    arrivals_.consume(consumed);
    return consumed;
}

void HttpConnection::process_pending() {
    while (reading() && !pending_.empty()) {
        const std::string bytes = std::exchange(pending_, {});
        const std::size_t consumed = feed_parser(bytes);
        if (!accepts_input()) return;
        pending_.assign(bytes, consumed);
        if (request_ && request_->body_complete)
            forward_if_complete();
        else if (consumed == 0)
            break;
    }
    if (state_ == State::closed) return;
    if (pending_.size() <= max_pending_bytes && state_ != State::lingering) stream().read(true);
    if (half_closed_ && reading()) close();
}

bool HttpConnection::on_head(wire::Head& head) {
    begin_request(head);
    if (const auto refusal = check_request()) {
        reply_locally(local_reply(refusal->error), refusal->log_reason);
        return false;
    }
    state_ = State::reading_body;
    wait_started_ = loop().now();
    return true;
}

void HttpConnection::begin_request(wire::Head& head) {
    request_ = std::make_unique<Request>();
    Request& request = *request_;
    request.received_at = wait_started_;
    request.head = std::move(head);
    request.client.minor = request.head.minor;
    request.client.head_method = request.head.method == "HEAD";
    request.client.keep_alive = request.head.keep_alive;
    request.client.accepts_trailers = wire::lists(request.head.fields, "TE", "trailers");
    request.identity = identify_request(request.head, context_.random);
    request.description = context_.callbacks.description();
}

std::optional<HttpConnection::Refusal> HttpConnection::check_request() {
    Request& request = *request_;
    if (auto error =
            context_.resolver.resolve(request.head, *request.description, request.resolved))
        return Refusal{std::move(*error), "bad-request"};
    const auto& account = request.resolved.account;
    if (account && !context_.callbacks.serves_account(*account))
        return Refusal{{421, "Not of this instance", "the account is served by other instances"},
                       "misdirected"};
    if (request.head.has_length && request.head.length > max_body_bytes())
        return Refusal{body_too_large(), "bad-request"};
    return check_expectation();
}

std::optional<HttpConnection::Refusal> HttpConnection::check_expectation() {
    const wire::Head& head = request_->head;
    const std::string* expect = wire::find(head.fields, "Expect");
    if (!expect) return std::nullopt;
    if (!wire::same_name(*expect, "100-continue"))
        return Refusal{{417, "Unknown expectation", "100-continue is the only one"}, "bad-request"};
    const bool has_body = head.chunked || head.length > 0;
    if (has_body && head.minor >= 1) stream().write("HTTP/1.1 100 Continue\r\n\r\n");
    return std::nullopt;
}

std::size_t HttpConnection::max_body_bytes() const {
    return static_cast<std::size_t>(context_.config.listen().max_body_bytes());
}

RequestError HttpConnection::body_too_large() const {
    return {413, "Body too large", fmt::format("{} bytes at most", max_body_bytes())};
}

void HttpConnection::on_body(std::string_view bytes) {
    if (state_ != State::reading_body) return;
    if (request_->body.size() + bytes.size() > max_body_bytes())
        return reply_locally(local_reply(body_too_large()), "bad-request");
    request_->body.append(bytes);
}

void HttpConnection::on_message_end(wire::Fields&) {
    if (state_ == State::reading_body) request_->body_complete = true;
}

void HttpConnection::on_fault(const wire::Fault& fault) {
    if (!request_) {
        request_ = std::make_unique<Request>();
        request_->received_at = wait_started_;
    }
    request_->client.keep_alive = false;
    const RequestError error{fault.status, std::string(wire::reason_phrase(fault.status)),
                             std::string(fault.why)};
    reply_locally(local_reply(error), "bad-request");
}

void HttpConnection::forward_if_complete() {
    if (state_ == State::reading_body && request_->body_complete) forward_request();
}

void HttpConnection::forward_request() {
    Request& request = *request_;
    state_ = State::awaiting_response;
    const Micros now = loop().now();
    request.upstream = std::make_shared<upstream_http::OutRequest>();
    request.upstream->head =
        request_head_for_host(request.head, request.resolved.path, request.identity, client_,
                              context_.via, request.body.size());
    request.upstream->body = std::move(request.body);
    request.upstream->head_method = request.client.head_method;
    const auto& account = request.resolved.account;
    const core::ClientRequest client_request{
        account ? account->name : anonymous_account(client_),
        account ? account->plan : context_.anonymous_plan, request.resolved.request_class,
        request.resolved.units, request.resolved.deadline - (now - request.received_at)};
    request.id = context_.core.next_id();
    context_.in_flight[request.id] = this;
    context_.core.start_request(now, request.id, client_request);
}

std::shared_ptr<const upstream_http::OutRequest> HttpConnection::upstream_request() const {
    return request_->upstream;
}

// ---- responses ------------------------------------------------------------------------------

void HttpConnection::reply_locally(const LocalReply& reply, std::string_view log_reason) {
    Request& request = *request_;
    // The rest of a body that was not read would be taken for the next request.
    if (!request.body_complete || is_last_response()) request.client.keep_alive = false;
    request.client.date = context_.date.now();
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
    Request& request = *request_;
    state_ = State::streaming_response;
    last_progress_ = loop().now();
    request.response_status = head.status;
    request.client.date = context_.date.now();
    if (is_last_response()) request.client.keep_alive = false;
    Framing framing = Framing::none;
    const std::string translated = response_head_for_client(
        head, request.client, request.identity.request_id, context_.via, framing);
    request.response.start(stream(), translated, framing, std::move(pause_host));
    if (framing == Framing::until_close) request.client.keep_alive = false;
}

void HttpConnection::append_body(std::string_view bytes) {
    if (state_ == State::streaming_response) request_->response.write_body(stream(), bytes);
}

void HttpConnection::on_drained() {
    last_progress_ = loop().now();
    if (state_ == State::streaming_response) request_->response.on_drained();
}

void HttpConnection::end_response(const wire::Fields& trailers) {
    if (state_ != State::streaming_response) return;
    Request& request = *request_;
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

// While draining a response is the last one where no further request has been received.
bool HttpConnection::is_last_response() const {
    return manager().drain().draining() && pending_.empty() && !stream().unread();
}

void HttpConnection::finish_exchange() {
    const bool keep_alive = request_->client.keep_alive && !half_closed_;
    context_.in_flight.erase(request_->id);
    request_.reset();
    wait_started_ = last_progress_ = loop().now();
    if (!keep_alive) return linger();
    state_ = State::reading_head;
    parser_.next();
    if (pending_.empty() && !half_closed_) return;
    // Not from within the call that brought the response: a client could otherwise nest requests
    // without end.
    call_later(0us, [this] {
        if (reading()) process_pending();
    });
}

void HttpConnection::linger() {
    state_ = State::lingering;
    pending_.clear();
    start_lingering_close();
    if (half_closed_ && stream().queued() == 0) close();
}

// ---- the client's end -----------------------------------------------------------------------

void HttpConnection::on_end() {
    half_closed_ = true;
    if (state_ == State::lingering) {
        if (stream().queued() == 0) close();
        return;
    }
    if (state_ == State::reading_head && pending_.empty()) return close();
    const bool waits_on = context_.config.listen().half_closed() == config::Listen::ANSWER;
    if (waits_on && !reading()) return;
    disconnect();
}

void HttpConnection::check_client_connected() {
    // Where clients may end their half and wait on, an end says nothing.
    const bool may_wait_on = context_.config.listen().half_closed() == config::Listen::ANSWER;
    if (may_wait_on || state_ == State::closed || !peer_closed()) return;
    disconnect();
}

void HttpConnection::on_broken(int) {
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
    schedule_deletion();
}

bool HttpConnection::has_unfinished_work() const {
    if (state_ == State::closed) return false;
    if (state_ == State::lingering) return stream().queued() > 0;
    return !reading() || receiving() || !pending_.empty() || stream().queued() > 0 ||
           stream().unread();
}

// ---- time-outs ------------------------------------------------------------------------------

bool HttpConnection::receiving() const {
    return state_ == State::reading_body || (state_ == State::reading_head && !parser_.idle());
}

std::optional<ClientConnection::PendingWait> HttpConnection::pending_wait(Wait wait) const {
    const config::Listen& listen = context_.config.listen();
    switch (wait) {
        case Wait::client_end:
            if (state_ != State::lingering) return std::nullopt;
            return PendingWait{wait_started_, linger_timeout};
        case Wait::idle:
            if (!reading() || receiving()) return std::nullopt;
            return PendingWait{wait_started_, milliseconds(listen.idle_ms())};
        case Wait::message_rest:
            if (!receiving()) return std::nullopt;
            return PendingWait{
                wait_started_,
                milliseconds(state_ == State::reading_body ? listen.body_ms() : listen.head_ms())};
        case Wait::response_read:
            if (state_ != State::streaming_response || stream().queued() == 0) return std::nullopt;
            return PendingWait{last_progress_, milliseconds(listen.stalled_ms())};
        case Wait::first_message:  // the limit of idle connections covers it
        case Wait::drain:          // the last response ends the connection
            return std::nullopt;
    }
    return std::nullopt;
}

bool HttpConnection::on_wait_expired(Wait wait) {
    switch (wait) {
        case Wait::client_end:
        case Wait::idle:
            close();
            return true;
        case Wait::message_rest:
            on_fault({408, state_ == State::reading_body ? "the body did not come in time"
                                                         : "the head did not come in time"});
            return true;
        case Wait::response_read:
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

// Less often while idle: ten thousand idle clients cost next to nothing.
void HttpConnection::check_timeouts_periodically() {
    check_timeouts();
    if (state_ == State::closed) return;
    const config::Listen& listen = context_.config.listen();
    Micros period = min_check_period;
    if (reading() && !receiving())
        period =
            std::max<Micros>(period, milliseconds(std::min(listen.idle_ms(), listen.head_ms())) /
                                         idle_checks_per_timeout);
    call_later(period, [this] {
        if (state_ != State::closed) check_timeouts_periodically();
    });
}

void HttpConnection::log_access(int status, std::string_view reason) {
    const Request& request = *request_;
    const ResolvedRequest& resolved = request.resolved;
    AccessLogEntry entry;
    entry.request_id = request.identity.request_id;
    entry.method = request.head.method;
    entry.path = request.head.target.substr(0, request.head.target.find('?'));
    entry.account = resolved.account ? resolved.account->name : "";
    entry.key_id = resolved.account ? resolved.account->key_id : "";
    entry.request_class = resolved.route ? resolved.route->request_class : "";
    entry.reason = reason;
    entry.client = client_;
    entry.units = resolved.units;
    entry.status = status;
    entry.duration = loop().now() - request.received_at;
    context_.callbacks.log_access(entry);
}

}  // namespace silverreach::frontend::http

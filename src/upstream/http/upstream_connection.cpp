#include "upstream/http/upstream_connection.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "upstream/http/health_check.h"
#include "upstream/http/load_report.h"
#include "upstream/http/response_outcome.h"

namespace silverreach::upstream_http {
namespace {
using namespace std::chrono_literals;
// Longest time from the head of a response to its end if its body is not delivered.
constexpr Micros discard_timeout = 1s;
}  // namespace

UpstreamConnection::UpstreamConnection(ConnectionContext& context, upstream::HostConnections& host,
                                       event::Fd fd)
    : PooledConnection(context.loop, context.pool, host, std::move(fd)),
      context_(context),
      parser_(http::Parser::Kind::response, *this) {}

// ---- request ----

void UpstreamConnection::begin(const core::AttemptKey& key,
                               std::shared_ptr<const UpstreamRequest> request) {
    request_ = std::move(request);
    deliver_body_ = false;
    close_after_response_ = false;
    begin_exchange(key);
    parser_.reset();
    parser_.set_response_to_head(request_->head_method);
    if (state() == State::starting)
        write_request();
    else if (state() == State::connecting)
        start_connect_timer();
    if (is_health_check()) start_health_check_timer();
}

void UpstreamConnection::move_exchange() {
    const core::AttemptKey moved_key = key();
    std::shared_ptr<const UpstreamRequest> request = request_;
    release(false);
    context_.mover.move_exchange(moved_key, host().host, std::move(request));
}

void UpstreamConnection::start_connect_timer() {
    const auto limit = std::chrono::milliseconds(context_.config.hosts().connect_ms());
    after_in_exchange(limit, [this] {
        if (!is_connected()) fail(Outcome::connect_failed);
    });
}

void UpstreamConnection::start_health_check_timer() {
    const auto limit = std::chrono::milliseconds(context_.config.hosts().probe_ms());
    after_in_exchange(limit, [this] { fail(Outcome::timeout); });
}

// A body that nobody reads must not hold its connection, which counts towards the host's limit.
void UpstreamConnection::start_discard_timer() {
    after_in_exchange(discard_timeout, [this] { fail(Outcome::error); });
}

void UpstreamConnection::write_request() {
    const std::uint64_t exchange = exchange_id();
    if (!is_health_check() && !context_.callbacks.begin_send(key())) {
        if (is_current_exchange(exchange)) fail(Outcome::not_started);
        return;
    }
    if (!is_current_exchange(exchange)) return;  // the callback cancelled the attempt
    mark_request_written();
    const std::string head_end =
        is_health_check() ? "\r\n" : fmt::format("Silverreach-Attempt: {}\r\n\r\n", key().attempt);
    stream().write({request_->head, head_end, request_->body});
}

// ---- response ----

void UpstreamConnection::on_response_bytes(std::string_view bytes) {
    const std::uint64_t exchange = exchange_id();
    const std::size_t consumed = parser_.feed(bytes);
    if (is_current_exchange(exchange) && parser_.done()) complete_response(consumed < bytes.size());
}

void UpstreamConnection::on_remote_close() {
    const std::uint64_t exchange = exchange_id();
    close_after_response_ = true;
    parser_.finish();
    if (!is_current_exchange(exchange)) return;
    if (parser_.done())
        complete_response(true);
    else
        fail(Outcome::reset);
}

void UpstreamConnection::on_exchange_error(int error) {
    // Bytes of the request are sent only on an established connection.
    if (is_connected()) return fail(Outcome::reset);
    fail(event::is_local_shortage(error) ? Outcome::not_started : Outcome::connect_failed);
}

bool UpstreamConnection::on_head(http::Head& head) {
    LoadReport report;
    if (const std::string* field = http::find(head.fields, "endpoint-load-metrics"))
        report = parse_load_report(*field);
    if (!head.keep_alive) close_after_response_ = true;
    const config::HostAnswers& rules = context_.config.host_answers();
    mark_response_started();
    if (!is_health_check()) {
        if (!report_head(outcome_of(head, rules), report, head)) return false;
        if (!deliver_body_) start_discard_timer();
        return true;
    }
    context_.callbacks.on_health_check_ended(
        {host().host, health_check_outcome(head, rules), elapsed(), report});
    return has_exchange();
}

bool UpstreamConnection::report_head(Outcome outcome, const LoadReport& report, http::Head& head) {
    if (outcome != Outcome::success) {
        context_.callbacks.on_attempt_ended(key(), host().host, outcome, elapsed(), report,
                                            head.status);
        return has_exchange();
    }
    const std::uint64_t exchange = exchange_id();
    deliver_body_ =
        context_.callbacks.on_response_started(key(), host().host, elapsed(), report, head);
    return is_current_exchange(exchange);
}

void UpstreamConnection::on_body(std::string_view bytes) {
    if (deliver_body_) context_.callbacks.on_response_body(key(), bytes);
}

void UpstreamConnection::on_message_end(http::Fields& trailers) {
    trailers_ = std::move(trailers);
}

void UpstreamConnection::on_fault(const http::Fault&) {
    fail(state() == State::receiving_body ? Outcome::reset : Outcome::error);
}

// ---- end of the exchange ----

void UpstreamConnection::complete_response(bool has_trailing_bytes) {
    const bool was_delivered = std::exchange(deliver_body_, false);
    // If the response came before the complete request was sent, the host would read the rest of
    // the request as the next one.
    const bool reusable =
        !close_after_response_ && !has_trailing_bytes && request_sent() && !stream().closed();
    const core::AttemptKey ended_key = key();
    const http::Fields trailers = std::exchange(trailers_, {});
    stream().set_reading(true);
    release(reusable);
    if (was_delivered) context_.callbacks.on_response_ended(ended_key, true, trailers);
}

void UpstreamConnection::fail(Outcome outcome) {
    const core::AttemptKey ended_key = key();
    const bool already_reported = state() == State::receiving_body;
    const bool was_delivered = std::exchange(deliver_body_, false);
    const Micros duration = elapsed();
    const std::string host_name = host().host;
    release(false);
    if (was_delivered) return context_.callbacks.on_response_ended(ended_key, false, {});
    if (already_reported) return;
    if (ended_key == upstream::health_check_key)
        return context_.callbacks.on_health_check_ended({host_name, outcome, duration, {}});
    context_.callbacks.on_attempt_ended(ended_key, host_name, outcome, duration, {}, 0);
}

void UpstreamConnection::abandon() {
    release(is_connected() && !request_written());
}

void UpstreamConnection::release(bool reusable) {
    end_exchange();
    request_.reset();
    if (!reusable) stream().close();
    if (!is_health_check()) context_.attempts.erase(key());
    context_.pool.release(*this, reusable);
}

}  // namespace silverreach::upstream_http

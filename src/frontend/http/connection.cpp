#include "frontend/http/connection.h"

#include <fmt/format.h>

namespace silverreach::frontend::http {
namespace {
using namespace std::chrono_literals;
using std::chrono::milliseconds;
constexpr std::size_t most_pending = 64 * 1024;  // bytes of requests to come; then the client waits
constexpr std::size_t most_queued = 256 * 1024;  // bytes of an answer kept for a slow client
constexpr std::size_t queue_low = 64 * 1024;
constexpr Micros linger_for = 1s, watch_period = 250ms;

wire::HeadLimits limits_of(const config::Listen& l) {
    return {static_cast<std::size_t>(l.max_target_bytes()),
            static_cast<std::size_t>(l.max_head_bytes()), 100};
}
}  // namespace

Front::Connection::Connection(Front& front, event::Fd fd, std::string client, Micros waiting_since)
    : front_(front),
      stream_(front.loop_, std::move(fd), *this, waiting_since),
      parser_(wire::Parser::Kind::request, *this, limits_of(front.config_.listen())),
      client_(std::move(client)),
      since_(front.loop_.now()) {
    watch_time();
}

// ---- bytes in
// --------------------------------------------------------------------------------------------

void Front::Connection::on_data(std::string_view bytes) {
    if (state_ == State::lingering || state_ == State::gone) return;
    arrivals_.add(bytes.size(), stream_.arrived());
    if (state_ != State::reading || !pending_.empty()) {
        pending_.append(bytes);
        if (pending_.size() > most_pending) stream_.read(false);
        if (state_ == State::reading) advance();
        return;
    }
    const std::size_t taken = feed(bytes);
    // What one request leaves over belongs to the next.
    if (state_ != State::lingering && state_ != State::gone && taken < bytes.size())
        pending_.append(bytes.substr(taken));
    if (whole_) take();
}

// A request's time runs from when its first byte came, also where it waited for its turn.
std::size_t Front::Connection::feed(std::string_view bytes) {
    if (parser_.idle()) since_ = arrivals_.time_of(1, front_.loop_.now());
    const std::size_t taken = parser_.feed(bytes);
    arrivals_.consume(taken);
    return taken;
}

void Front::Connection::advance() {
    while (state_ == State::reading && !pending_.empty()) {
        const std::string bytes = std::exchange(pending_, {});
        const std::size_t taken = feed(bytes);
        if (state_ == State::lingering || state_ == State::gone) return;
        pending_.assign(bytes, taken);
        if (whole_)
            take();
        else if (taken == 0)
            break;
    }
    if (state_ == State::gone) return;
    if (pending_.size() <= most_pending && state_ != State::lingering) stream_.read(true);
    if (half_closed_ && state_ == State::reading) go();
}

bool Front::Connection::on_head(wire::Head& head) {
    request_ = std::make_unique<Request>();
    Request& r = *request_;
    r.begun = since_;
    r.head = std::move(head);
    r.side = {r.head.minor,
              r.head.method == "HEAD",
              r.head.keep_alive,
              wire::lists(r.head.fields, "TE", "trailers"),
              {}};
    r.identity = identity_of(r.head, front_.random_);
    r.description = front_.hooks_.description();
    const auto refuse = [&](const Refusal& refusal, std::string_view reason) {
        answer_myself(own_answer(refusal), reason);
        return false;
    };
    if (auto refusal = front_.resolver_.resolve(r.head, *r.description, r.resolved))
        return refuse(*refusal, "bad-request");
    if (r.resolved.account && !front_.hooks_.served_here(*r.resolved.account))
        return refuse(
            {421, "Not of this instance", "the account is served by other instances", {}, false},
            "misdirected");
    const auto most = static_cast<std::uint64_t>(front_.config_.listen().max_body_bytes());
    if (r.head.has_length && r.head.length > most)
        return refuse({413, "Body too large", fmt::format("{} bytes at most", most), {}, false},
                      "bad-request");
    if (const std::string* expect = wire::find(r.head.fields, "Expect")) {
        if (!wire::same_name(*expect, "100-continue"))
            return refuse({417, "Unknown expectation", "100-continue is the only one", {}, false},
                          "bad-request");
        const bool body = r.head.chunked || r.head.length > 0;
        if (body && r.head.minor >= 1) stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    in_body_ = true;
    since_ = front_.loop_.now();
    return true;
}

void Front::Connection::on_body(std::string_view bytes) {
    if (state_ != State::reading || !request_) return;
    const auto most = static_cast<std::size_t>(front_.config_.listen().max_body_bytes());
    if (request_->body.size() + bytes.size() > most)
        return answer_myself(
            own_answer(
                Refusal{413, "Body too large", fmt::format("{} bytes at most", most), {}, false}),
            "bad-request");
    request_->body.append(bytes);
}

void Front::Connection::on_message_end(wire::Fields&) {
    if (state_ == State::reading && request_) whole_ = request_->body_read = true;
}

void Front::Connection::on_fault(const wire::Fault& fault) {
    if (!request_) {
        request_ = std::make_unique<Request>();
        request_->begun = since_;
    }
    request_->side.keep_alive = false;
    answer_myself(own_answer(Refusal{fault.status,
                                     std::string(wire::reason_phrase(fault.status)),
                                     std::string(fault.why),
                                     {},
                                     false}),
                  "bad-request");
}

// The whole request is here: the core takes it.
void Front::Connection::take() {
    whole_ = in_body_ = false;
    Request& r = *request_;
    state_ = State::in_hand;
    const Micros now = front_.loop_.now();
    r.out = std::make_shared<upstream_http::OutRequest>();
    r.out->head =
        head_for_host(r.head, r.resolved.path, r.identity, client_, front_.via_, r.body.size());
    r.out->body = std::move(r.body);
    r.out->head_method = r.side.to_head;
    const auto& account = r.resolved.account;
    const core::ClientRequest t{account ? account->name : anonymous_account(client_),
                                account ? account->plan : front_.anonymous_plan_,
                                r.resolved.request_class, r.resolved.units,
                                r.resolved.deadline - (now - r.begun)};
    r.id = front_.core_.next_id();
    front_.by_id_[r.id] = this;
    front_.core_.start_request(now, r.id, t);
}

std::shared_ptr<const upstream_http::OutRequest> Front::Connection::out_request() const {
    return request_->out;
}

// ---- answers out
// -----------------------------------------------------------------------------------------

void Front::Connection::answer_myself(const OwnAnswer& answer, std::string_view reason) {
    Request& r = *request_;
    // A body that was not read to its end would be taken for the next request.
    if (!r.body_read || last_before_the_end()) r.side.keep_alive = false;
    r.side.date = front_.date();
    stream_.write(write_answer(answer, r.side, r.identity.request_id));
    note(answer.status, reason);
    message_over();
}

void Front::Connection::finish(const core::FinalResponse& answer) {
    if (state_ != State::in_hand) return;
    const OwnAnswer own = own_answer(answer);
    answer_myself(own, own.type);
}

void Front::Connection::answer_begins(const std::string& host, wire::Head& head,
                                      std::function<void(bool)> pause) {
    if (state_ != State::in_hand) return;
    Request& r = *request_;
    state_ = State::answering;
    progress_ = front_.loop_.now();
    r.pause = std::move(pause);
    r.host = host, r.status = head.status;
    r.side.date = front_.date();
    if (last_before_the_end()) r.side.keep_alive = false;
    stream_.write(head_for_client(head, r.side, r.identity.request_id, front_.via_, r.framing));
    if (r.framing == Framing::until_close) r.side.keep_alive = false;
}

void Front::Connection::answer_body(std::string_view bytes) {
    if (state_ != State::answering || bytes.empty()) return;
    Request& r = *request_;
    if (r.framing == Framing::none) return;
    if (r.framing == Framing::chunked) {
        stream_.write({fmt::format("{:x}\r\n", bytes.size()), bytes, "\r\n"});
    } else {
        stream_.write(bytes);
    }
    if (stream_.queued() > most_queued && !r.paused) r.pause(r.paused = true);
}

void Front::Connection::on_drained() {
    progress_ = front_.loop_.now();
    if (state_ == State::answering && request_->paused) request_->pause(request_->paused = false);
}

void Front::Connection::answer_ended(bool whole, const wire::Fields& trailers) {
    if (state_ != State::answering) return;
    Request& r = *request_;
    if (!whole) {
        // The client must not take a part for the whole: its connection breaks instead of ending.
        note(r.status, "broken");
        front_.by_id_.erase(r.id);
        stream_.reset();
        return go();
    }
    if (r.framing == Framing::chunked) stream_.write(last_chunk(trailers, r.side.trailers));
    note(r.status, "served");
    message_over();
}

void Front::Connection::cut() {
    if (state_ != State::answering) return;
    note(request_->status, "cut");
    front_.by_id_.erase(request_->id);
    stream_.reset();
    go();
}

void Front::Connection::message_over() {
    const bool keep = request_->side.keep_alive && !half_closed_;
    front_.by_id_.erase(request_->id);
    request_.reset();
    in_body_ = whole_ = false;
    since_ = progress_ = front_.loop_.now();
    if (!keep) return linger();
    state_ = State::reading;
    parser_.next();
    // Not from within the call that brought the answer: a client could otherwise nest requests
    // without end.
    if (!pending_.empty() || half_closed_)
        front_.loop_.after(0us, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired() && state_ == State::reading) advance();
        });
}

// After a last answer the rest of what the client sends is read and dropped for a while: closing at
// once would break the connection and could take the answer with it.
void Front::Connection::linger() {
    state_ = State::lingering;
    pending_.clear();
    stream_.end();
    stream_.read(true);
    if (half_closed_ && stream_.queued() == 0) go();
}

// ---- the client's end
// ------------------------------------------------------------------------------------

void Front::Connection::on_end() {
    half_closed_ = true;
    const bool waits = front_.config_.listen().half_closed() == config::Listen::ANSWER;
    if (state_ == State::lingering) return stream_.queued() == 0 ? go() : void();
    if (state_ == State::reading && !in_body_ && pending_.empty()) return go();
    if (waits && state_ != State::reading) return;
    leave_request();
    go();
}

// Where clients may end their half and wait on, an end tells nothing.
void Front::Connection::look_for_client() {
    const bool may_wait = front_.config_.listen().half_closed() == config::Listen::ANSWER;
    if (may_wait || state_ == State::gone || !stream_.peer_closed()) return;
    leave_request();
    go();
}

void Front::Connection::on_broken(int) {
    if (state_ == State::gone) return;
    leave_request();
    go();
}

void Front::Connection::leave_request() {
    if (state_ != State::in_hand && state_ != State::answering) return;
    const RequestId id = request_->id;
    note(request_->status, "left");
    front_.by_id_.erase(id);
    state_ = State::lingering;  // whatever comes back finds nobody
    front_.core_.on_client_disconnected(front_.loop_.now(), id);
}

void Front::Connection::go() {
    if (state_ == State::gone) return;
    state_ = State::gone;
    stream_.close();
    front_.delete_later(*this);
}

bool Front::Connection::last_before_the_end() const {
    return front_.closing_ && pending_.empty() && !stream_.unread();
}
bool Front::Connection::owes() const {
    if (state_ == State::gone) return false;
    if (state_ == State::lingering) return stream_.queued() > 0;
    const bool begun = state_ != State::reading || in_body_ || !parser_.idle() || !pending_.empty();
    return begun || stream_.queued() > 0 || stream_.unread();
}

// ---- time
// ------------------------------------------------------------------------------------------------

// One look now and then rather than a timer for each wait: ten thousand idle clients cost nothing
// in between.
void Front::Connection::watch_time() {
    const Micros now = front_.loop_.now();
    const config::Listen& l = front_.config_.listen();
    const bool partial = state_ == State::reading && (in_body_ || !parser_.idle());
    if (state_ == State::reading && !partial && now - since_ >= milliseconds(l.idle_ms()))
        return go();
    if (partial && now - since_ >= milliseconds(in_body_ ? l.body_ms() : l.head_ms()))
        on_fault(
            {408, in_body_ ? "the body did not come in time" : "the head did not come in time"});
    if (state_ == State::lingering && now - since_ >= linger_for) return go();
    const bool stuck = stream_.queued() > 0 && now - progress_ >= milliseconds(l.stalled_ms());
    if (state_ == State::answering && stuck) {
        leave_request();
        stream_.reset();
        return go();
    }
    if (state_ == State::gone) return;
    const Micros wait =
        state_ == State::reading && !partial
            ? std::max<Micros>(watch_period, milliseconds(std::min(l.idle_ms(), l.head_ms())) / 4)
            : watch_period;
    front_.loop_.after(wait, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && state_ != State::gone) watch_time();
    });
}

void Front::Connection::note(int status, std::string_view reason) {
    const Request& r = *request_;
    Record record;
    record.request_id = r.identity.request_id;
    record.method = r.head.method;
    record.path = r.head.target.substr(0, r.head.target.find('?'));
    record.account = r.resolved.account ? r.resolved.account->name : "";
    record.key_id = r.resolved.account ? r.resolved.account->key_id : "";
    record.request_class = r.resolved.route ? r.resolved.route->request_class : "";
    record.reason = reason, record.client = client_;
    record.units = r.resolved.units, record.status = status;
    record.took = front_.loop_.now() - r.begun;
    front_.hooks_.record(record);
}

}  // namespace silverreach::frontend::http

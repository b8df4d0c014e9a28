#include "frontend/resp/front.h"

#include <algorithm>

#include "frontend/resp/connection.h"

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;
constexpr Micros look_period = 200ms;
}  // namespace

std::string_view text_of(CloseReason reason) {
    constexpr std::array<std::string_view, close_reason_count> texts{
        "client_ended", "no_command",     "idle",        "evicted",      "protocol_error",
        "draining",     "answers_unread", "linger_over", "linger_flood", "linger_crowded"};
    return texts[static_cast<std::size_t>(reason)];
}

Front::Front(event::Loop& loop, const config::Endpoint& listen, const platform::Judge& judge,
             FrontLimits limits, core::Core& core, std::function<Micros()> clock)
    : loop_(loop),
      judge_(judge),
      limits_(limits),
      core_(core),
      clock_(std::move(clock)),
      deferred_deletion_(loop) {
    listener_ = std::make_unique<event::Listener>(
        loop, listen.ip, listen.port, listen.v6, [this] { return room(); },
        [this](event::Fd fd, std::string) { accepted(std::move(fd)); });
    sweep();
}
Front::~Front() = default;

// The oldest that never said a whole command, else the one that has been idle longest; never one
// with a request in hand.
Front::Connection* Front::longest_at_rest() {
    Connection* out = nullptr;
    for (const auto& c : connections_) {
        if (c->lingering() || (!c->silent() && !c->idle())) continue;
        const bool rather = !out || (c->silent() && !out->silent()) ||
                            (c->silent() == out->silent() && c->since() < out->since());
        if (rather && (c->silent() || c->at_rest())) out = c.get();
    }
    return out;
}

bool Front::room() {
    if (connections_.size() - lingering_ < limits_.connections) return true;
    Connection* out = longest_at_rest();
    if (!out) return ++stats_.turned_away, false;
    ++stats_.silent;
    out->leave(CloseReason::evicted);
    return true;
}

bool Front::give_up_idle() {
    if (lingering_ > 0) return true;  // one is about to go
    Connection* out = longest_at_rest();
    if (out) out->leave(CloseReason::evicted);
    return out != nullptr;
}

// Of too many that wait for their clients to end, the one that has waited longest is closed.
void Front::lingers(Connection& connection) {
    if (++lingering_ <= limits_.lingering) return;
    Connection* out = nullptr;
    for (const auto& c : connections_)
        if (c->lingering() && c.get() != &connection && (!out || c->since() < out->since()))
            out = c.get();
    (out ? *out : connection).close(CloseReason::linger_crowded);
}

void Front::accepted(event::Fd fd) {
    ++stats_.accepted;
    connections_.push_back(
        std::make_unique<Connection>(*this, std::move(fd), listener_->waiting_since()));
    connections_.back()->slot = connections_.size() - 1;
}

// It may be in the middle of a call of its own; it goes at the next turn.
void Front::delete_later(Connection& connection) {
    const std::size_t at = connection.slot;
    lingering_ -= connection.lingering();
    deferred_deletion_.schedule(std::move(connections_[at]));
    if (at + 1 != connections_.size()) {
        connections_[at] = std::move(connections_.back());
        connections_[at]->slot = at;
    }
    connections_.pop_back();
}

void Front::closing(const ClientClose& close) {
    ++stats_.closes[static_cast<std::size_t>(close.reason)];
    const rules::ConnectionRecord facts{close.requests_in_hand,
                                        close.reason == CloseReason::client_ended};
    if (rules::AttemptRules::check_close(facts)) ++stats_.closed_in_hand;
    if (on_close_) on_close_(close);
}

void Front::sweep() {
    const Micros now = loop_.now();
    for (std::size_t i = connections_.size(); i-- > 0;)
        if (i < connections_.size()) connections_[i]->look(now);
    loop_.after(look_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

std::shared_ptr<const platform::OutCommand> Front::out_command(RequestId id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : it->second.out;
}

std::uint64_t Front::client_id(RequestId id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? 0 : it->second.client_id;
}

void Front::look_for_client(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.taken == loop_.now()) return;
    if (Connection& c = *it->second.connection; c.left()) c.close(CloseReason::client_ended);
}

void Front::over(RequestId id, std::string bytes) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    const Open open = std::move(it->second);
    requests_.erase(it);
    by_client_id_.erase(open.client_id);
    open.connection->answered(open.place, std::move(bytes));
}

void Front::finish(RequestId id, const core::FinalResponse& answer) {
    if (!answer.rejected)
        return over(id, answer.failure_reason == core::FailureReason::timed_out
                            ? "-ERR no answer in time\r\n"
                            : "-ERR failed\r\n");
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
    over(id, ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n");
}
void Front::answer(RequestId id, std::string_view value) {
    std::string bytes;
    silverreach::resp::append_bulk(bytes, value);
    over(id, std::move(bytes));
}

void Front::stop_listening() {
    if (listener_) listener_->stop();
}
void Front::close_when_idle(Micros end) {
    closing_ = true, end_ = end;
    for (std::size_t i = connections_.size(); i-- > 0;)
        if (i < connections_.size()) connections_[i]->look(loop_.now());
}

Front::Stats Front::stats() const {
    Stats s = stats_;
    s.connections = connections_.size();
    return s;
}

}  // namespace silverreach::frontend::resp

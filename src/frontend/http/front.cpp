#include "frontend/http/front.h"

#include <fmt/format.h>

#include <algorithm>

#include "frontend/http/connection.h"

namespace silverreach::frontend::http {

using namespace std::chrono_literals;

Front::Front(event::Loop& loop, const config::Config& config, config::AccountBook& accounts,
             core::Core& core, Hooks hooks)
    : loop_(loop),
      config_(config),
      anonymous_plan_(config::plan_index(config, config.api().anonymous_plan())),
      core_(core),
      hooks_(std::move(hooks)),
      resolver_(config, accounts),
      via_(fmt::format("silverreach-{}", config.peers().rank())),
      deferred_deletion_(loop) {
    const auto at = config::parse_endpoint(config.listen().address());
    listener_ = std::make_unique<event::Listener>(
        loop, at->ip, at->port, at->v6,
        [this] {
            return connections_.size() <
                   static_cast<std::size_t>(config_.listen().max_connections());
        },
        [this](event::Fd fd, std::string client) { accept(std::move(fd), std::move(client)); });
}
Front::~Front() {
    alive_.reset();
}

int Front::port() const {
    return listener_->port();
}
void Front::stop_listening() {
    closing_ = true;
    listener_->stop();
}
bool Front::owes() const {
    return listener_->listening() || std::any_of(connections_.begin(), connections_.end(),
                                                 [](const auto& c) { return c.first->owes(); });
}
std::size_t Front::connections() const {
    return connections_.size();
}

void Front::accept(event::Fd fd, std::string client) {
    auto connection = std::make_unique<Connection>(*this, std::move(fd), std::move(client),
                                                   listener_->waiting_since());
    Connection* key = connection.get();
    connections_.emplace(key, std::move(connection));
}

// A connection may be in the middle of a call of its own; it goes at the next turn.
void Front::delete_later(Connection& connection) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    deferred_deletion_.schedule(std::move(it->second));
    connections_.erase(it);
}

const std::string& Front::date() {
    if (const std::time_t now = std::time(nullptr); now != date_of_)
        date_ = wire::date_text(date_of_ = now);
    return date_;
}

Front::Connection* Front::find(RequestId id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}
std::shared_ptr<const upstream_http::OutRequest> Front::out_request(RequestId id) const {
    const Connection* c = find(id);
    return c ? c->out_request() : nullptr;
}
void Front::look_for_client(RequestId id) {
    if (Connection* c = find(id)) c->look_for_client();
}
void Front::finish(RequestId id, const core::FinalResponse& answer) {
    if (Connection* c = find(id)) c->finish(answer);
}
void Front::cut(RequestId id) {
    if (Connection* c = find(id)) c->cut();
}
void Front::answer_begins(RequestId id, const std::string& host, wire::Head& head,
                          std::function<void(bool)> pause) {
    if (Connection* c = find(id)) c->answer_begins(host, head, std::move(pause));
}
void Front::answer_body(RequestId id, std::string_view bytes) {
    if (Connection* c = find(id)) c->answer_body(bytes);
}
void Front::answer_ended(RequestId id, bool whole, const wire::Fields& trailers) {
    if (Connection* c = find(id)) c->answer_ended(whole, trailers);
}

}  // namespace silverreach::frontend::http

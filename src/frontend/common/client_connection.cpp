#include "frontend/common/client_connection.h"

#include <array>
#include <utility>

#include "frontend/common/connection_manager.h"

namespace silverreach::frontend {

ClientConnection::ClientConnection(ConnectionManager& manager, event::Fd fd, Micros waiting_since)
    : manager_(manager),
      loop_(manager.loop()),
      stream_(loop_, std::move(fd), *this, waiting_since),
      wait_started_(loop_.now()) {}

// UBSan reads an object's vptr through a pipe. Connections are destroyed when the process is short
// of descriptors; no pipe can be created then, and UBSan reports a valid vptr as invalid.
[[gnu::no_sanitize("vptr")]] ClientConnection::~ClientConnection() = default;

void ClientConnection::check_timeouts() {
    constexpr std::array<Wait, 6> order{
        Wait::client_close, Wait::first_message,      Wait::idle,
        Wait::drain,        Wait::message_completion, Wait::response_read};
    if (stream_.closed()) return;
    stream_.update_queue_progress();
    update_buffered();
    const Micros now = loop_.now();
    for (const Wait wait : order) {
        const auto pending = pending_wait(wait);
        if (pending && now - pending->since >= pending->limit && on_wait_expired(wait)) return;
    }
}

void ClientConnection::call_later(Micros delay, std::function<void()> callback) {
    loop_.after(delay, [callback = std::move(callback), alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) callback();
    });
}

void ClientConnection::start_lingering_close() {
    lingering_ = true;
    stream_.end();
    stream_.set_reading(true);
    manager_.on_lingering(*this);
}

void ClientConnection::schedule_deletion() {
    manager_.remove(*this);
}

}  // namespace silverreach::frontend

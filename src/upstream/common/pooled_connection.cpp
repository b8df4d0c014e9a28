#include "upstream/common/pooled_connection.h"

#include "upstream/common/connection_pool.h"

namespace silverreach::upstream {

PooledConnection::PooledConnection(event::Loop& loop, ConnectionPool& pool, HostConnections& host,
                                   event::Fd fd)
    : loop_(loop),
      pool_(pool),
      host_(host),
      address_(*host.address),
      stream_(loop, std::move(fd), *this, true) {}

// UBSan reads an object's vptr through a pipe. Connections are destroyed when the process runs out
// of descriptors; the pipe then cannot be created, and UBSan reports a valid vptr as invalid.
[[gnu::no_sanitize("vptr")]] PooledConnection::~PooledConnection() = default;

bool PooledConnection::has_exchange() const {
    return state_ == State::connecting || state_ == State::resting || state_ == State::starting ||
           request_written();
}

bool PooledConnection::is_connected() const {
    return state_ == State::idle || state_ == State::resting || state_ == State::starting ||
           request_written();
}

void PooledConnection::begin_exchange(const core::AttemptKey& key) {
    key_ = key;
    exchange_started_ = loop_.now();
    ++exchange_id_;
    if (!is_connected()) {
        state_ = State::connecting;
        return;
    }
    state_ = loop_.now() < not_before_ ? State::resting : State::starting;
    if (state_ == State::resting) start_rest_timer();
}

void PooledConnection::start_rest_timer() {
    after_in_exchange(not_before_ - loop_.now(), [this] { end_rest(); });
}

// The host's bytes may have arrived without having been read yet, or it has a new address.
void PooledConnection::end_rest() {
    if (const auto reason = pool_.drop_reason(*this)) return lose_resting(*reason);
    state_ = State::starting;
    exchange_started_ = loop_.now();
    on_ready();
}

void PooledConnection::lose_resting(DropReason reason) {
    pool_.count_drop(reason);
    move_exchange();
}

void PooledConnection::end_exchange() {
    ++exchange_id_;
    if (request_written()) exchange_ended_at_ = loop_.now();
    state_ = is_connected() ? State::idle : State::pending;
}

void PooledConnection::retire() {
    stream_.close();
    state_ = State::closed;
}

void PooledConnection::on_connected() {
    if (state_ == State::pending) {
        state_ = State::idle;
        return pool_.on_pending_connected(*this);
    }
    state_ = State::starting;
    on_ready();
}

void PooledConnection::on_data(std::string_view bytes) {
    if (state_ == State::resting) return lose_resting(DropReason::unsolicited_bytes);
    if (has_exchange()) return on_response_bytes(bytes);
    // Bytes without a request in progress mean that the host's framing cannot be trusted any more.
    pool_.drop_unused(*this, DropReason::unsolicited_bytes);
}

void PooledConnection::on_end() {
    if (state_ == State::resting) return lose_resting(DropReason::closed_by_host);
    if (has_exchange()) return on_remote_close();
    pool_.drop_unused(*this, DropReason::closed_by_host);
}

void PooledConnection::on_error(int error) {
    if (state_ == State::resting) return lose_resting(DropReason::closed_by_host);
    if (has_exchange()) return on_exchange_error(error);
    pool_.drop_unused(*this, DropReason::closed_by_host);
}

}  // namespace silverreach::upstream

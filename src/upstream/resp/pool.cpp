#include "upstream/resp/pool.h"

#include <errno.h>

#include <algorithm>
#include <utility>

namespace silverreach::upstream_resp {
namespace {
using namespace std::chrono_literals;
namespace wire = silverreach::resp;
constexpr Micros sweep_period = 500ms;
// Without a byte in the middle of an answer. A host writes an answer at once; a lost packet costs
// some 200 ms.
constexpr Micros stop_most = 250ms;
// Beyond the protocol's 64 KiB, which hosts do not keep to: 188 to 328 KB were seen.
constexpr wire::Limits answer_limits{
    .items = 8, .bulk = 1024 * 1024, .total = 1028 * 1024, .line = 256};
constexpr std::size_t small_answer = 64 * 1024;  // always taken, however much is kept
// A connection that is late to come up is kept so long, and so many to one host, as it may still
// serve the next attempt; without that each late one costs an attempt and a handshake more.
constexpr Micros handover_most = 100ms;  // for a request's bytes to leave this process
constexpr Micros coming_most = 2s;
constexpr std::size_t coming_to_one = 2;
const core::AttemptKey no_key{0, -1};
}  // namespace

struct Upstream::Pool {
    std::string host;
    std::optional<config::Endpoint> endpoint;
    std::vector<std::unique_ptr<Connection>> idle;  // the latest used last
    std::vector<std::unique_ptr<Connection>> in_use;
    std::vector<std::unique_ptr<Connection>>
        coming;  // given up by their attempts before they stood
    bool listed = true;
};

class Upstream::Connection : public event::StreamOwner {
  public:
    Connection(Upstream& up, Pool& pool, event::Fd fd)
        : pool_(pool),
          address_(*pool.endpoint),
          up_(up),
          stream_(up.loop_, std::move(fd), *this, true) {}

    void begin_attempt(const core::AttemptKey& key,
                       std::shared_ptr<const platform::OutCommand> command) {
        key_ = key, command_ = std::move(command);
        begin();
    }
    void begin_probe(std::string bytes) {
        key_ = no_key, probe_ = std::move(bytes);
        begin();
    }
    void begin() {
        begun_ = up_.loop_.now();
        written_ = false;
        busy_ = true;
        ++turn_;
        reader_.next();
        if (probing()) limit(up_.limits_.probe, Outcome::timeout, false);
        if (connected_)
            write_out();
        else
            limit(up_.limits_.connect, Outcome::connect_failed, true);
    }
    bool probing() const { return key_ == no_key; }
    const core::AttemptKey& key() const { return key_; }
    Pool& pool() { return pool_; }
    event::Stream& stream() { return stream_; }
    bool at(const std::optional<config::Endpoint>& e) const { return e == address_; }
    bool connected() const { return connected_; }
    // All of the request has left; before that it cannot have run.
    bool handed_over() const { return written_ && stream_.queued() == 0; }
    Micros idle_since{0};

    void on_connected() override {
        connected_ = true;
        if (busy_)
            write_out();
        else
            up_.came_up(*this);
    }
    void on_data(std::string_view bytes) override {
        if (!busy_) return ++up_.stats_.more, up_.drop_idle(*this);  // nobody asked for it
        in_.append(bytes);
        up_.kept_bytes_ += bytes.size();
        heard_ = up_.loop_.now();
        const wire::Got got = reader_.look(in_);
        if (got == wire::Got::more) {
            if (up_.kept_bytes_ > up_.limits_.kept_bytes && in_.size() > small_answer)
                return ++up_.stats_.spoilt, end(Answer{}, false);
            if (in_.size() == bytes.size()) watch_stop(stop_most);
            return;
        }
        if (got == wire::Got::broken) return ++up_.stats_.spoilt, end(Answer{}, false);
        const bool more = reader_.size() < in_.size();
        if (more) ++up_.stats_.more;
        // A command that is still being written has been answered early: its rest would be read as
        // the next.
        const bool reusable = !more && handed_over();
        wire::Reply reply = reader_.take();
        if (probing()) {
            const bool good = reply.kind == wire::Kind::status || reply.kind == wire::Kind::bulk ||
                              reply.kind == wire::Kind::null;
            Answer a;
            a.outcome = good ? Outcome::success : Outcome::error;
            if (reply.kind == wire::Kind::bulk) a.report = read_report(reply.text);
            return end(std::move(a), reusable);
        }
        Answer answer = read_answer(std::move(reply));
        const bool spoilt = answer.outcome == Outcome::error && in_.front() != '-';
        if (spoilt) ++up_.stats_.spoilt;
        end(std::move(answer), reusable && !spoilt);
    }
    void on_end() override {
        if (!busy_) return ++up_.stats_.stale, up_.drop_idle(*this);
        lost();
    }
    void on_broken(int error) override {
        if (!busy_) return ++up_.stats_.stale, up_.drop_idle(*this);
        if (!connected_ && event::local_shortage(error)) return take_back();
        lost();
    }

    // Ends the attempt without a word to anybody.
    void abandon() {
        finish_use();
        up_.release(*this, !connected_);
    }
    // Its host wants nothing new: the attempt that has not gone out ends as one that was never
    // sent.
    void take_back() {
        Answer a;
        a.outcome = Outcome::not_started;
        end(std::move(a), !written_);
    }

  private:
    void write_out() {
        if (probing()) {
            written_ = true;
            return stream_.write(std::exchange(probe_, {}));
        }
        const std::uint64_t turn = turn_;
        const auto left = up_.events_.hand_over(key_);
        if (turn != turn_ || !busy_) return;  // withdrawn meanwhile
        if (!left) return take_back();
        written_ = true;
        stream_.write(command_->with(*left));
        // What waits here for a host that does not read would tell it a deadline that is long over.
        if (stream_.queued() > 0) limit_handover();
    }
    void limit_handover() {
        up_.loop_.after(handover_most, [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired() && turn_ == turn && busy_ && !handed_over()) lost();
        });
    }
    void limit(Micros wait, Outcome outcome, bool unless_connected) {
        up_.loop_.after(wait, [this, outcome, unless_connected, turn = turn_,
                               alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired() || turn_ != turn || !busy_ || (unless_connected && connected_))
                return;
            Answer a;
            a.outcome = outcome;
            end(std::move(a), !connected_);
        });
    }
    void watch_stop(Micros wait) {
        up_.loop_.after(wait, [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired() || turn_ != turn || !busy_) return;
            const Micros quiet = up_.loop_.now() - heard_;
            if (quiet < stop_most) return watch_stop(stop_most - quiet);
            ++up_.stats_.stopped;
            end(Answer{}, false);
        });
    }
    // Before the last byte was handed over it cannot have run.
    void lost() {
        Answer a;
        a.outcome = handed_over() ? Outcome::reset : Outcome::connect_failed;
        end(std::move(a), false);
    }
    void finish_use() {
        ++turn_;
        busy_ = written_ = false;
        command_.reset();
        probe_.clear();
        up_.kept_bytes_ -= in_.size();
        in_.clear();
        if (in_.capacity() > 4096) in_.shrink_to_fit();
    }
    void end(Answer answer, bool reusable) {
        const core::AttemptKey key = key_;
        const Micros took = up_.loop_.now() - begun_;
        Upstream& up = up_;
        const std::string host = pool_.host;
        finish_use();
        up.release(*this, reusable);
        if (key == no_key)
            return up.events_.probe_ended({host, answer.outcome, took, answer.report});
        up.events_.attempt_ended(key, host, took, std::move(answer));
    }

    Pool& pool_;
    const config::Endpoint address_;
    Upstream& up_;
    event::Stream stream_;
    wire::ReplyReader reader_{answer_limits};
    core::AttemptKey key_ = no_key;
    std::shared_ptr<const platform::OutCommand> command_;
    std::string probe_, in_;
    Micros begun_{0}, heard_{0};
    std::uint64_t turn_ = 0;  // of use: what belongs to an earlier one is passed over
    bool connected_ = false, busy_ = false,
         written_ = false;  // written_: the use's bytes, to the stream
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::vector<std::unique_ptr<Upstream::Connection>>::iterator Upstream::find(
    std::vector<std::unique_ptr<Connection>>& among, const Connection& connection) {
    return std::find_if(among.begin(), among.end(),
                        [&](const auto& c) { return c.get() == &connection; });
}

Upstream::Upstream(event::Loop& loop, PoolLimits limits, Events& events)
    : loop_(loop), limits_(limits), events_(events), deferred_deletion_(loop) {
    sweep();
}
Upstream::~Upstream() = default;

Upstream::Pool* Upstream::pool(const std::string& host) {
    const auto it = pools_.find(host);
    return it == pools_.end() ? nullptr : it->second.get();
}

// A connection that has rested may be closed by its host just as a request goes out on it, which
// then ends as one that may have run: no harm to a request that may be repeated, the end of one
// that must not.
Upstream::Connection* Upstream::take_idle(Pool& pool, bool repeatable) {
    while (!pool.idle.empty() &&
           (repeatable || loop_.now() - pool.idle.back()->idle_since < limits_.sure)) {
        auto connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool old = loop_.now() - connection->idle_since >= limits_.idle;
        if (old || !connection->at(pool.endpoint) || connection->stream().unread()) {
            ++stats_.stale;
            delete_later(std::move(connection));
            continue;
        }
        ++stats_.reused;
        pool.in_use.push_back(std::move(connection));
        return pool.in_use.back().get();
    }
    return nullptr;
}

// Without room here nothing was tried, and the host is not to blame.
Upstream::Connection* Upstream::take(Pool* pool, bool repeatable, Outcome& failed) {
    failed = Outcome::connect_failed;
    if (!pool) return nullptr;
    if (Connection* idle = take_idle(*pool, repeatable)) return idle;
    if (!pool->endpoint) return nullptr;
    failed = Outcome::not_started;
    if (open_ >= limits_.connections && !give_up_idle()) return ++stats_.full, nullptr;
    int error = 0;
    event::Fd fd = open(*pool, error);
    if (!fd) {
        if (!event::local_shortage(error)) failed = Outcome::connect_failed;
        return nullptr;
    }
    ++stats_.opened, ++open_;
    pool->in_use.push_back(std::make_unique<Connection>(*this, *pool, std::move(fd)));
    return pool->in_use.back().get();
}

// For want of a descriptor a connection that carries nothing goes first.
event::Fd Upstream::open(const Pool& pool, int& error) {
    const auto connect = [&] {
        return event::connect_to(pool.endpoint->ip, pool.endpoint->port, pool.endpoint->v6, error);
    };
    event::Fd fd = connect();
    if (!fd && (error == EMFILE || error == ENFILE) && give_up_idle()) fd = connect();
    return fd;
}

// Closes the connection that has been idle longest, to any host.
bool Upstream::give_up_idle() {
    Pool* from = nullptr;
    for (const auto& [name, pool] : pools_)
        if (!pool->coming.empty()) return drop_idle(*pool->coming.front()), true;
    for (const auto& [name, pool] : pools_)
        if (!pool->idle.empty() &&
            (!from || pool->idle.front()->idle_since < from->idle.front()->idle_since))
            from = pool.get();
    if (!from) return false;
    drop_idle(*from->idle.front());
    return true;
}

void Upstream::send(const core::AttemptKey& key, const std::string& host,
                    std::shared_ptr<const platform::OutCommand> command) {
    Answer a;
    Connection* connection = take(pool(host), command->repeatable, a.outcome);
    if (!connection) {
        return events_.attempt_ended(key, host, 0us, std::move(a));
    }
    by_key_[key] = connection;
    connection->begin_attempt(key, std::move(command));
}

bool Upstream::withdraw(const core::AttemptKey& key) {
    const auto it = by_key_.find(key);
    if (it == by_key_.end() || it->second->handed_over()) return false;
    return it->second->abandon(), true;
}
void Upstream::cancel(const core::AttemptKey& key) {
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) it->second->abandon();
}

void Upstream::probe(const std::string& host) {
    Outcome failed = Outcome::not_started;
    Connection* connection = take(pool(host), true, failed);
    if (!connection) return events_.probe_ended({host, failed, 0us, {}});
    std::string command;
    wire::append_array(command, limits_.ask_load ? 2 : 1);
    wire::append_bulk(command, limits_.ask_load ? "INFO" : "PING");
    if (limits_.ask_load) wire::append_bulk(command, "load");
    connection->begin_probe(std::move(command));
}

void Upstream::release(Connection& connection, bool reusable) {
    if (!connection.probing()) by_key_.erase(connection.key());
    Pool& pool = connection.pool();
    const auto it = find(pool.in_use, connection);
    if (it == pool.in_use.end()) return;
    auto owned = std::move(*it);
    *it = std::move(pool.in_use.back());
    pool.in_use.pop_back();
    connection.idle_since = loop_.now();
    if (reusable && pool.listed && connection.at(pool.endpoint)) {
        if (connection.connected()) return pool.idle.push_back(std::move(owned));
        if (pool.coming.size() < coming_to_one) return pool.coming.push_back(std::move(owned));
    }
    delete_later(std::move(owned));
}

// Late, with nobody waiting for it any more: it is there for the next attempt.
void Upstream::came_up(Connection& connection) {
    Pool& pool = connection.pool();
    const auto it = find(pool.coming, connection);
    if (it == pool.coming.end()) return;
    pool.idle.push_back(std::move(*it));
    pool.coming.erase(it);
    connection.idle_since = loop_.now();
}

void Upstream::drop_idle(Connection& connection) {
    for (auto* list : {&connection.pool().idle, &connection.pool().coming})
        if (const auto it = find(*list, connection); it != list->end()) {
            auto owned = std::move(*it);
            list->erase(it);
            return delete_later(std::move(owned));
        }
}

// Closed at once; the object may be in the middle of a call of its own and goes at the next turn.
void Upstream::delete_later(std::unique_ptr<Connection> connection) {
    connection->stream().close();
    --open_;
    deferred_deletion_.schedule(std::move(connection));
}

void Upstream::hosts_changed(const platform::TargetList& list) {
    if (list.whole)
        for (auto& [name, pool] : pools_)
            pool->listed = false;
    for (const platform::Target& t : list.targets) {
        auto& pool = pools_[t.entry.id];
        if (!pool) {
            pool = std::make_unique<Pool>();
            pool->host = t.entry.id;
        }
        pool->listed = t.entry.status == EndpointStatus::available;
        if (t.endpoint) pool->endpoint = t.endpoint;
    }
    for (auto& [name, pool] : pools_)
        close_unused(*pool, [&pool = pool](const Connection& c) {
            return !pool->listed || !c.at(pool->endpoint);
        });
}

// A host that is not listed as ready wants nothing new: what has not gone out to it goes to
// another. Called once the core knows as well, so that it does not choose the same one again.
void Upstream::take_back_unlisted() {
    std::vector<core::AttemptKey> unsent;
    for (const auto& [name, pool] : pools_)
        for (const auto& c : pool->in_use)
            if (!pool->listed && !c->probing() && !c->handed_over()) unsent.push_back(c->key());
    for (const core::AttemptKey& key : unsent)
        if (const auto it = by_key_.find(key); it != by_key_.end()) it->second->take_back();
}

template <typename Goes>
void Upstream::close_unused(Pool& pool, Goes goes) {
    for (auto* list : {&pool.idle, &pool.coming}) {
        for (auto& c : *list)
            if (goes(*c)) delete_later(std::move(c));
        std::erase(*list, nullptr);
    }
}

// Closes what has idled too long and forgets hosts that are gone.
void Upstream::sweep() {
    for (auto& [name, pool] : pools_)
        close_unused(*pool, [&](const Connection& c) {
            return loop_.now() - c.idle_since >= (c.connected() ? limits_.idle : coming_most);
        });
    std::erase_if(pools_, [](const auto& p) {
        return !p.second->listed && p.second->idle.empty() && p.second->coming.empty() &&
               p.second->in_use.empty();
    });
    loop_.after(sweep_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

Upstream::Stats Upstream::stats() const {
    Stats s = stats_;
    s.open = open_, s.hosts = pools_.size();
    return s;
}

}  // namespace silverreach::upstream_resp

#include "upstream/http/upstream.h"

#include <fmt/format.h>

#include <algorithm>

namespace silverreach::upstream_http {
namespace {
using namespace std::chrono_literals;
constexpr Micros sweep_period = 1s;
const core::AttemptKey no_key{0, -1};
}  // namespace

struct Upstream::Pool {
    std::string host;
    std::optional<config::Endpoint> endpoint;
    std::vector<std::unique_ptr<Connection>> idle;  // the latest used last
    std::vector<std::unique_ptr<Connection>> in_use;
    bool listed = true;
};

// One connection; it carries one attempt or probe at a time and goes back to its pool when the
// answer is whole.
class Upstream::Connection : public event::StreamOwner, public http::Parser::Events {
  public:
    Connection(Upstream& up, Pool& pool, event::Fd fd)
        : pool_(pool),
          up_(up),
          stream_(up.loop_, std::move(fd), *this, true),
          parser_(http::Parser::Kind::response, *this) {}

    void begin(const core::AttemptKey& key, std::shared_ptr<const OutRequest> request) {
        key_ = key, request_ = std::move(request);
        begun_ = up_.loop_.now();
        wanted_ = answering_ = false;
        unusable_ = written_ = false;
        ++turn_;
        parser_.next();
        parser_.answer_to_head(request_->head_method);
        if (connected_)
            write_out();
        else
            up_.loop_.after(std::chrono::milliseconds(up_.config_.hosts().connect_ms()),
                            [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired() && turn_ == turn && !connected_ && busy())
                                    give_up(Outcome::connect_failed);
                            });
        if (probing())
            up_.loop_.after(std::chrono::milliseconds(up_.config_.hosts().probe_ms()),
                            [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired() && turn_ == turn && busy())
                                    give_up(Outcome::timeout);
                            });
    }
    bool probing() const { return key_ == no_key; }
    bool busy() const { return request_ != nullptr; }
    const core::AttemptKey& key() const { return key_; }
    bool handed_over() const { return written_ && stream_.queued() == 0; }  // all of the request
    Pool& pool() { return pool_; }
    event::Stream& stream() { return stream_; }
    Micros idle_since{0};

    void on_connected() override {
        connected_ = true;
        if (busy()) write_out();
    }
    void on_data(std::string_view bytes) override {
        if (!busy())
            return drop();  // an answer nobody asked for: the connection is not to be trusted
        const auto turn = turn_;
        const std::size_t taken = parser_.feed(bytes);
        if (turn == turn_ && busy() && parser_.done()) answer_whole(taken < bytes.size());
    }
    void on_end() override {
        if (!busy()) return drop();
        const auto turn = turn_;
        unusable_ = true;
        parser_.finish();
        if (turn != turn_ || !busy()) return;
        if (parser_.done())
            answer_whole(true);
        else
            give_up(Outcome::reset);
    }
    void on_broken(int error) override {
        if (!busy()) return drop();
        // Bytes of the request went out only after the connection stood.
        if (connected_) return give_up(Outcome::reset);
        give_up(event::local_shortage(error) ? Outcome::not_started : Outcome::connect_failed);
    }

    // ---- the parser's ----
    bool on_head(http::Head& head) override {
        const Micros took = up_.loop_.now() - begun_;
        LoadReport report;
        if (const std::string* field = http::find(head.fields, "endpoint-load-metrics"))
            report = read_report(*field);
        if (!head.keep_alive) unusable_ = true;
        const Outcome outcome = outcome_of(head, up_.config_.host_answers());
        answering_ = true;
        if (probing()) {
            const bool good = outcome == Outcome::success && head.status < 400;
            up_.events_.probe_ended(
                {pool_.host, good ? Outcome::success : Outcome::error, took, report});
        } else if (outcome == Outcome::success) {
            const auto turn = turn_;
            wanted_ = up_.events_.answer_begins(key_, pool_.host, took, report, head);
            if (turn != turn_ || !busy()) return false;
        } else {
            up_.events_.attempt_ended(key_, pool_.host, outcome, took, report, head.status);
        }
        return busy();
    }
    void on_body(std::string_view bytes) override {
        if (wanted_) up_.events_.answer_body(key_, bytes);
    }
    void on_message_end(http::Fields& trailers) override { trailers_ = std::move(trailers); }
    void on_fault(const http::Fault&) override {
        give_up(answering_ ? Outcome::reset : Outcome::error);
    }

    // Ends the attempt without a word to anybody.
    void abandon() {
        ++turn_;
        request_.reset();
        stream_.close();
        up_.release(*this, false);
    }

  private:
    void write_out() {
        const std::uint64_t turn = turn_;
        if (!probing() && !up_.events_.hand_over(key_)) {
            if (turn == turn_ && busy()) give_up(Outcome::not_started);
            return;
        }
        if (turn != turn_ || !busy()) return;  // cancelled meanwhile
        written_ = true;
        const std::string last =
            probing() ? "\r\n" : fmt::format("Silverreach-Attempt: {}\r\n\r\n", key_.attempt);
        stream_.write({request_->head, last, request_->body});
    }
    void answer_whole(bool more_bytes) {
        const bool wanted = std::exchange(wanted_, false);
        // A request that is still being written has been answered early: its rest would be read as
        // the next one.
        const bool reusable = !unusable_ && !more_bytes && handed_over() && !stream_.closed();
        const core::AttemptKey key = key_;
        auto trailers = std::move(trailers_);
        trailers_.clear();
        ++turn_;
        request_.reset();
        stream_.read(true);
        if (!reusable) stream_.close();
        Upstream& up = up_;
        up.release(*this, reusable);
        if (wanted) up.events_.answer_ended(key, true, trailers);
    }
    void give_up(Outcome outcome) {
        const core::AttemptKey key = key_;
        const bool probe = probing(), answering = answering_,
                   wanted = std::exchange(wanted_, false);
        const Micros took = up_.loop_.now() - begun_;
        ++turn_;
        request_.reset();
        stream_.close();
        Upstream& up = up_;
        const std::string host = pool_.host;
        up.release(*this, false);
        if (wanted) return up.events_.answer_ended(key, false, {});
        if (answering) return;  // told already
        if (probe) return up.events_.probe_ended({host, outcome, took, {}});
        up.events_.attempt_ended(key, host, outcome, took, {}, 0);
    }
    void drop() {
        stream_.close();
        auto& idle = pool_.idle;
        const auto it =
            std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == this; });
        if (it == idle.end()) return;
        auto owned = std::move(*it);
        idle.erase(it);
        up_.delete_later(std::move(owned));
    }

    Pool& pool_;
    Upstream& up_;
    event::Stream stream_;
    http::Parser parser_;
    core::AttemptKey key_ = no_key;
    std::shared_ptr<const OutRequest> request_;
    Micros begun_{0};
    http::Fields trailers_;
    std::uint64_t turn_ = 0;  // of use: what belongs to an earlier one is passed over
    bool connected_ = false, written_ = false, wanted_ = false, answering_ = false,
         unusable_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Upstream::Upstream(event::Loop& loop, const config::Config& config, Events& events)
    : loop_(loop), config_(config), events_(events), deferred_deletion_(loop) {
    sweep();
}
Upstream::~Upstream() = default;

Upstream::Pool& Upstream::pool(const std::string& host) {
    auto& pool = pools_[host];
    if (!pool) {
        pool = std::make_unique<Pool>();
        pool->host = host;
        pool->endpoint = config::parse_endpoint(host);
    }
    return *pool;
}

std::unique_ptr<Upstream::Connection> Upstream::take_idle(Pool& pool) {
    if (pool.idle.empty()) return nullptr;
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    ++reused_;
    return connection;
}

Upstream::Connection* Upstream::open(Pool& pool, bool probe, Outcome& failed) {
    failed = Outcome::connect_failed;
    if (auto idle = take_idle(pool)) {
        pool.in_use.push_back(std::move(idle));
        return pool.in_use.back().get();
    }
    // Probes are few and tell whether a host is full of connections; they may pass the limit.
    const bool full =
        pool.in_use.size() >= static_cast<std::size_t>(config_.hosts().max_connections());
    if (!pool.endpoint || (full && !probe)) return nullptr;
    int error = 0;
    event::Fd fd =
        event::connect_to(pool.endpoint->ip, pool.endpoint->port, pool.endpoint->v6, error);
    if (!fd) {
        if (event::local_shortage(error)) failed = Outcome::not_started;
        return nullptr;
    }
    ++opened_;
    pool.in_use.push_back(std::make_unique<Connection>(*this, pool, std::move(fd)));
    return pool.in_use.back().get();
}

void Upstream::send(const core::AttemptKey& key, const std::string& host,
                    std::shared_ptr<const OutRequest> request) {
    Outcome failed = Outcome::connect_failed;
    Connection* connection = open(pool(host), false, failed);
    if (!connection) return events_.attempt_ended(key, host, failed, 0us, {}, 0);
    by_key_[key] = connection;
    connection->begin(key, std::move(request));
}

void Upstream::cancel(const core::AttemptKey& key) {
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) it->second->abandon();
}
bool Upstream::withdraw(const core::AttemptKey& key) {
    const auto it = by_key_.find(key);
    if (it == by_key_.end() || it->second->handed_over()) return false;
    return it->second->abandon(), true;
}
void Upstream::read(const core::AttemptKey& key, bool on) {
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) it->second->stream().read(on);
}

void Upstream::probe(const std::string& host) {
    Outcome failed = Outcome::connect_failed;
    Connection* connection = open(pool(host), true, failed);
    if (!connection) return events_.probe_ended({host, failed, 0us, {}});
    auto request = std::make_shared<OutRequest>();
    request->head = "GET " + config_.hosts().probe_path() + " HTTP/1.1\r\nHost: " + host + "\r\n";
    connection->begin(no_key, std::move(request));
}

void Upstream::release(Connection& connection, bool reusable) {
    if (!connection.probing()) by_key_.erase(connection.key());
    Pool& pool = connection.pool();
    const auto it = std::find_if(pool.in_use.begin(), pool.in_use.end(),
                                 [&](const auto& c) { return c.get() == &connection; });
    if (it == pool.in_use.end()) return;
    auto owned = std::move(*it);
    *it = std::move(pool.in_use.back());
    pool.in_use.pop_back();
    connection.idle_since = loop_.now();
    if (reusable && pool.listed) {
        pool.idle.push_back(std::move(owned));
        return;
    }
    connection.stream().close();
    delete_later(std::move(owned));
}

// A connection may be in the middle of a call of its own; it goes at the next turn.
void Upstream::delete_later(std::unique_ptr<Connection> connection) {
    deferred_deletion_.schedule(std::move(connection));
}

void Upstream::keep_only(const std::vector<EndpointEntry>& hosts) {
    for (auto& [name, pool] : pools_)
        pool->listed =
            std::any_of(hosts.begin(), hosts.end(), [&, &name = name](const EndpointEntry& h) {
                return h.id == name && h.status == EndpointStatus::available;
            });
    for (auto& [name, pool] : pools_)
        if (!pool->listed) pool->idle.clear();
    for (const EndpointEntry& h : hosts)
        if (h.status == EndpointStatus::available) pool(h.id).listed = true;
}

// Closes what has idled too long and forgets hosts that are gone.
void Upstream::sweep() {
    const Micros most = std::chrono::milliseconds(config_.hosts().idle_ms());
    for (auto& [name, pool] : pools_) {
        auto& idle = pool->idle;  // the longest idle first
        const auto fresh = std::find_if(idle.begin(), idle.end(), [&](const auto& c) {
            return loop_.now() - c->idle_since < most;
        });
        idle.erase(idle.begin(), fresh);
    }
    std::erase_if(pools_, [](const auto& p) {
        return !p.second->listed && p.second->idle.empty() && p.second->in_use.empty();
    });
    loop_.after(sweep_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

Upstream::Stats Upstream::stats() const {
    Stats s{0, 0, opened_, reused_};
    for (const auto& [name, pool] : pools_)
        s.open += pool->idle.size() + pool->in_use.size(), s.idle += pool->idle.size();
    return s;
}

}  // namespace silverreach::upstream_http

// Connections to the platform's hosts: a pool for each uid, one attempt at a time on a connection,
// the latest used first. Which host, when and how often is not decided here.
//
// An answer counts only once it is whole and of the form; what is spoilt, or begun and then silent,
// is a failed attempt that may have run, and its connection goes at once. A connection that says
// more than it was asked is not used again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "event/deferred_deletion.h"
#include "event/stream.h"
#include "platform/request.h"
#include "platform/targets.h"
#include "resp/reply.h"

namespace silverreach::upstream_resp {

struct Answer {
    Outcome outcome = Outcome::error;
    std::string value;      // where good
    double true_units = 0;  // where told; else 0
    LoadReport report;
};
// What a host's whole answer to a request says.
Answer read_answer(silverreach::resp::Reply reply);
LoadReport read_report(
    std::string_view text);  // "inflight=7,queue=2,util=0.61"; what cannot be read is not told

// What becomes of attempts. Each send ends in one of these or in a cancel by the caller.
class Events {
  public:
    virtual ~Events() = default;
    // Just before an attempt's bytes go out: how long its host may take, or nothing where it must
    // not begin any more. May come back with a withdrawal of the attempt.
    virtual std::optional<Micros> hand_over(const core::AttemptKey& key) = 0;
    virtual void attempt_ended(const core::AttemptKey& key, const std::string& host, Micros took,
                               Answer answer) = 0;
    virtual void probe_ended(HealthCheckEnded ended) = 0;
};

struct PoolLimits {
    std::size_t connections = 100;  // to all hosts
    Micros connect{250'000}, idle{12'000'000}, probe{250'000};
    Micros sure{
        1'000'000};        // of rest, by which a request that must not be repeated may still follow
    bool ask_load = true;  // probes ask for the load report
    std::size_t kept_bytes = 8 * 1024 * 1024;  // of answers under way, over all connections
};

class Upstream {
  public:
    Upstream(event::Loop& loop, PoolLimits limits, Events& events);
    ~Upstream();

    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const platform::OutCommand> command);
    void cancel(const core::AttemptKey&
                    key);  // closes the attempt's connection; nothing more is told of it
    // Takes back an attempt that has not gone out whole; false where it has, or is not known.
    bool withdraw(const core::AttemptKey& key);
    void probe(const std::string& host);
    bool give_up_idle();  // closes a connection that carries nothing; false where there is none
    // Where hosts listen. A connection belongs to the uid and the address at which it was opened.
    void hosts_changed(const platform::TargetList& list);
    void take_back_unlisted();  // attempts that have not gone out to hosts that are not ready any
                                // more: moot

    struct Stats {
        std::size_t open = 0, hosts = 0;
        std::uint64_t opened = 0, reused = 0, stale = 0, spoilt = 0, more = 0, full = 0,
                      stopped = 0;
    };
    Stats stats() const;

  private:
    class Connection;
    struct Pool;
    Pool* pool(const std::string& host);
    // Nothing where none is to be had; `failed` then says how an attempt ends by it.
    Connection* take(Pool* pool, bool repeatable, Outcome& failed);
    Connection* take_idle(Pool& pool, bool repeatable);
    event::Fd open(const Pool& pool, int& error);
    static std::vector<std::unique_ptr<Connection>>::iterator find(
        std::vector<std::unique_ptr<Connection>>& among, const Connection& connection);
    void release(Connection& connection, bool reusable);
    void came_up(Connection& connection);
    // Closes what `goes` says of those that carry nothing.
    template <typename Goes>
    void close_unused(Pool& pool, Goes goes);
    void drop_idle(Connection& connection);
    void delete_later(std::unique_ptr<Connection> connection);
    void sweep();

    event::Loop& loop_;
    PoolLimits limits_;
    Events& events_;
    std::unordered_map<std::string, std::unique_ptr<Pool>> pools_;
    std::unordered_map<core::AttemptKey, Connection*, core::AttemptKeyHash> by_key_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::size_t open_ = 0, kept_bytes_ = 0;
    Stats stats_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::upstream_resp

// Connections to hosts: a pool each, one attempt at a time on a connection. Which host, when and
// how often is not decided here.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "event/deferred_deletion.h"
#include "event/stream.h"
#include "http/parser.h"

namespace silverreach::upstream_http {

// A request as it goes to hosts, the same for all attempts: its head without the last empty line,
// and its body. The field Silverreach-Attempt and the empty line are added for each.
struct OutRequest {
    std::string head;
    std::string body;
    bool head_method = false;
};

// What becomes of attempts. Each send ends in one of: answer_begins (then answer_ended),
// attempt_ended, or a cancel by the caller.
class Events {
  public:
    virtual ~Events() = default;
    // Just before an attempt's bytes go out: whether it may still begin. May come back with a
    // cancel.
    virtual bool hand_over(const core::AttemptKey& key) = 0;
    // A good answer's head. Returns whether its body is wanted; if not, it is read and dropped.
    virtual bool answer_begins(const core::AttemptKey& key, const std::string& host, Micros took,
                               const LoadReport& report, http::Head& head) = 0;
    virtual void answer_body(const core::AttemptKey& key, std::string_view bytes) = 0;
    virtual void answer_ended(const core::AttemptKey& key, bool whole,
                              const http::Fields& trailers) = 0;
    virtual void attempt_ended(const core::AttemptKey& key, const std::string& host,
                               Outcome outcome, Micros took, const LoadReport& report,
                               int status) = 0;
    virtual void probe_ended(HealthCheckEnded ended) = 0;
};

// The load that a host tells in `endpoint-load-metrics` (ORCA): JSON or TEXT form; other forms tell
// nothing.
LoadReport read_report(std::string_view field);
// How an answer counts: `good`, `error`, or `full` where the configuration says so.
Outcome outcome_of(const http::Head& head, const config::HostAnswers& rules);

class Upstream {
  public:
    Upstream(event::Loop& loop, const config::Config& config, Events& events);
    ~Upstream();

    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const OutRequest> request);
    void cancel(const core::AttemptKey&
                    key);  // closes the attempt's connection; nothing more is told of it
    // Takes back an attempt that has not gone out whole; false where it has, or is not known.
    bool withdraw(const core::AttemptKey& key);
    void read(const core::AttemptKey& key, bool on);  // back pressure
    void probe(const std::string& host);
    // Idle connections to hosts that are not listed any more are closed; those in use end with
    // their attempts.
    void keep_only(const std::vector<EndpointEntry>& hosts);

    struct Stats {
        std::size_t open = 0, idle = 0;
        std::uint64_t opened = 0, reused = 0;
    };
    Stats stats() const;

  private:
    class Connection;
    struct Pool;
    Pool& pool(const std::string& host);
    std::unique_ptr<Connection> take_idle(Pool& pool);
    // Nothing where none is to be had; `failed` then says how an attempt ends by it.
    Connection* open(Pool& pool, bool probe, Outcome& failed);
    void release(Connection& connection, bool reusable);
    void delete_later(std::unique_ptr<Connection> connection);
    void sweep();

    event::Loop& loop_;
    const config::Config& config_;
    Events& events_;
    std::map<std::string, std::unique_ptr<Pool>> pools_;
    std::unordered_map<core::AttemptKey, Connection*, core::AttemptKeyHash> by_key_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::uint64_t opened_ = 0, reused_ = 0;
};

}  // namespace silverreach::upstream_http

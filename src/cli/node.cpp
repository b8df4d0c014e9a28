#include "cli/node.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros drain_look = 10ms;
constexpr int reserved_descriptors = 24;  // listener, discovery, peers, loop, log, files
// For the log, in the order of the types.
const std::array<std::string, 7> refuse_texts{"quota",   "ceiling",   "open", "pressed",
                                              "no_host", "no_answer", "late"};
const std::array<std::string, 2> fail_texts{"bad_answer", "no_time"};
const std::array<std::string, 8> outcome_texts{"good",           "error", "full",      "timeout",
                                               "connect_failed", "reset", "cancelled", "moot"};
constexpr Micros idle_reserve = 2s;  // a connection is given up so long before its host does

Micros unix_now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}
std::int64_t whole(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

// The descriptors there are: told, and granted by the system.
int descriptors(const platform::NodeLimits& told) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return told.sockets;
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(told.sockets)));
}
}  // namespace

Node::Node(event::Loop& loop, platform::NodeConfig config, log::Log& log)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      offset_(unix_now() - event::Loop::clock()),
      command_validator_(config_),
      timers_(loop, [this](std::uint64_t token) { core_->on_timer(now(), {token}); }) {
    core_ = std::make_unique<core::RequestCoordinator>(config_.settings, 0, config_.seed, now(),
                                                       static_cast<core::Environment&>(*this));
    const auto sockets =
        static_cast<std::size_t>(std::max(8, descriptors(config_.limits) - reserved_descriptors));
    upstream_resp::UpstreamLimits upstream;
    upstream.max_connections = sockets / 2;
    upstream.connect_timeout = config_.connect_timeout;
    upstream.health_check_timeout = config_.connect_timeout;
    upstream.idle_timeout =
        std::max<Micros>(config_.idle_timeout / 2, config_.idle_timeout - idle_reserve);
    upstream.max_buffered_bytes =
        static_cast<std::size_t>(config_.limits.memory_mb) * 1024 * 1024 / 8;
    upstream.request_load_report = config_.settings.load_report_mode != LoadReportMode::none;
    upstream_ = std::make_unique<upstream_resp::Upstream>(
        loop, upstream, static_cast<upstream_resp::AttemptCallbacks&>(*this));
    if (config_.peer_listen && config_.settings.may_message_peers)
        peers_ = std::make_unique<peers::RawTransport>(
            loop, *config_.peer_listen, config_.peers, config_.broadcast, config_.settings.rank,
            [this](int rank, std::string bytes) {
                core_->on_peer_message(now(), {rank, std::move(bytes)});
            });
    platform::TargetList known = config_.initial_list;
    known.complete = true;
    hosts_changed(known);
    frontend::resp::FrontendLimits limits;
    const std::size_t clients = sockets - upstream.max_connections;
    limits.max_lingering = clients / 8;
    limits.max_connections = clients - limits.max_lingering;
    limits.max_buffered_bytes =
        static_cast<std::size_t>(config_.limits.memory_mb) * 1024 * 1024 / 16;
    frontend_ = std::make_unique<frontend::resp::Frontend>(
        loop, config_.listen, command_validator_, limits, *core_, [this] { return now(); });
    frontend_->on_shortage([this] { return upstream_->evict_unused() || frontend_->close_idle(); });
    frontend_->on_close([this](const frontend::resp::ConnectionClose& close) {
        if (!log_.wants(log::Level::debug)) return;
        log_.write(log::Level::debug, "client_closed",
                   {{"why", std::string(frontend::resp::to_string(close.reason))},
                    {"in_hand", whole(close.requests_in_flight)},
                    {"open_us", std::int64_t{close.open_for.count()}}});
    });
    discovery::DiscoveryWatch::Callbacks callbacks;
    callbacks.on_list = [this](const platform::TargetList& list) { hosts_changed(list); };
    callbacks.on_unavailable = [this](const discovery::DiscoveryError& error) {
        log_.write(log::Level::warning, "discovery_lost", {{"why", error.message()}});
    };
    const std::int64_t from =
        config_.initial_list.targets.empty() ? -1 : config_.initial_list.revision;
    discovery_watch_ = std::make_unique<discovery::DiscoveryWatch>(loop, config_.discovery, from,
                                                                   std::move(callbacks));
}
Node::~Node() {
    alive_.reset();
    discovery_watch_.reset();
    frontend_.reset();
    upstream_.reset();
}

void Node::hosts_changed(const platform::TargetList& list) {
    log_.write(log::Level::info, "hosts",
               {{"revision", list.revision},
                {"whole", std::int64_t{list.complete}},
                {"listed", whole(list.targets.size())}});
    upstream_->update_hosts(list);
    EndpointsChanged change;
    change.complete = list.complete;
    for (const platform::Target& t : list.targets)
        change.endpoints.push_back(t.entry);
    core_->on_endpoints_changed(now(), std::move(change));
    upstream_->end_unsent_to_unlisted();
}

void Node::reload(const platform::NodeConfig& fresh) {
    log_.write(log::Level::warning, "configuration", {{"discovery", fresh.discovery.text()}});
    discovery_watch_->redirect(fresh.discovery);
}

void Node::drain(Micros notice, Micros most, std::function<void()> done) {
    if (std::exchange(draining_, true)) return;
    log_.write(log::Level::warning, "draining", {{"in_hand", whole(frontend_->in_flight())}});
    const Micros end = loop_.now() + most;
    loop_.after(notice,
                [this, end, done = std::move(done), alive = std::weak_ptr<bool>(alive_)]() mutable {
                    if (alive.expired()) return;
                    frontend_->start_draining(end);
                    wait_for_drain(std::move(done));
                });
}
// As long as a request is in hand it goes on, however late: to end by itself would lose it.
void Node::wait_for_drain(std::function<void()> done) {
    if (!frontend_->listening() && frontend_->stats().connections == 0) return done();
    loop_.after(drain_look,
                [this, done = std::move(done), alive = std::weak_ptr<bool>(alive_)]() mutable {
                    if (!alive.expired()) wait_for_drain(std::move(done));
                });
}

void Node::log_counts() {
    log_.write(log::Level::info, "counts", traffic_fields());
    log_.write(log::Level::info, "closes", close_fields());
    const log::Fields rules = rule_fields();
    const auto violated = core_->counters().late_responses + core_->counters().unchecked_attempts +
                          frontend_->stats().closed_with_requests;
    log_.write(violated > 0 ? log::Level::error : log::Level::info, "rules", rules);
    log_.flush();
}

log::Fields Node::traffic_fields() const {
    const core::Counters& c = core_->counters();
    const upstream_resp::Upstream::Stats upstream = upstream_->stats();
    const auto& connections = upstream.connections;
    const auto& responses = upstream.responses;
    const auto f = frontend_->stats();
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const auto refused = [this](RejectReason r) { return refused_[static_cast<std::size_t>(r)]; };
    const auto ended = [this](Outcome o) { return whole(ended_[static_cast<std::size_t>(o)]); };
    const auto cpu = [](const timeval& t) {
        return std::int64_t{t.tv_sec} * 1000 + t.tv_usec / 1000;
    };
    return {{"taken", whole(c.received)},
            {"served", whole(c.served)},
            {"refused", whole(c.rejected)},
            {"refused_quota", whole(refused(RejectReason::quota_exhausted) +
                                    refused(RejectReason::concurrency_limit))},
            {"refused_ceiling", whole(refused(RejectReason::ceiling_reached))},
            {"refused_pressed", whole(refused(RejectReason::overloaded))},
            {"refused_no_host", whole(refused(RejectReason::no_endpoint))},
            {"refused_no_answer", whole(refused(RejectReason::no_response))},
            {"failed", whole(c.failed)},
            {"left", whole(c.disconnected)},
            {"attempts", whole(c.attempts)},
            {"ended_error", ended(Outcome::error)},
            {"ended_full", ended(Outcome::rejected)},
            {"ended_timeout", ended(Outcome::timeout)},
            {"ended_connect_failed", ended(Outcome::connect_failed)},
            {"ended_reset", ended(Outcome::reset)},
            {"ended_moot", ended(Outcome::not_started)},
            {"held", whole(core_->in_flight())},
            {"clients", whole(f.connections)},
            {"accepted", whole(f.accepted)},
            {"nonsense", whole(f.invalid_commands)},
            {"broken", whole(f.protocol_errors)},
            {"silent", whole(f.silent)},
            {"turned_away", whole(f.rejected)},
            {"hosts", whole(connections.hosts)},
            {"host_connections", whole(connections.open)},
            {"opened", whole(connections.opened)},
            {"reused", whole(connections.reused)},
            {"stale", whole(connections.stale)},
            {"spoilt", whole(responses.malformed)},
            {"more", whole(connections.unsolicited + responses.trailing_bytes)},
            {"full", whole(connections.full)},
            {"stopped", whole(responses.stalled)},
            {"peers_sent", whole(peers_ ? peers_->stats().sent : 0)},
            {"peers_received", whole(peers_ ? peers_->stats().received : 0)},
            {"peers_dropped", whole(peers_ ? peers_->stats().dropped : 0)},
            {"cpu_ms", cpu(use.ru_utime) + cpu(use.ru_stime)},
            {"peak_kib", std::int64_t{use.ru_maxrss}}};
}

// Client connections that ended, by reason.
log::Fields Node::close_fields() const {
    const auto closes = frontend_->stats().closes;
    log::Fields fields;
    for (std::size_t i = 0; i < closes.size(); ++i)
        fields.emplace_back(frontend::resp::to_string(static_cast<frontend::resp::CloseReason>(i)),
                            whole(closes[i]));
    return fields;
}

// What the rules stopped, and what went past them: the last three stay 0.
log::Fields Node::rule_fields() const {
    const core::Counters& c = core_->counters();
    log::Fields fields{{"stopped_choices", whole(c.blocked_choices.sum())},
                       {"stopped_handovers", whole(c.blocked_sends.sum())}};
    for (std::size_t i = 0; i < rules::block_reason_count; ++i) {
        const auto reason = static_cast<rules::BlockReason>(i);
        const std::uint64_t stops = c.blocked_choices.of(reason) + c.blocked_sends.of(reason);
        if (stops > 0) fields.emplace_back(rules::to_string(reason), whole(stops));
    }
    fields.emplace_back("late_answers", whole(c.late_responses));
    fields.emplace_back("unchecked_attempts", whole(c.unchecked_attempts));
    fields.emplace_back("closed_in_hand", whole(frontend_->stats().closed_with_requests));
    return fields;
}

void Node::trace(std::string_view event, RequestId id, log::Fields fields) {
    if (!log_.wants(log::Level::debug)) return;
    fields.insert(fields.begin(), {"request", whole(id)});
    log_.write(log::Level::debug, event, fields);
}

log::Fields Node::limits() const {
    const auto ms = [](Micros t) { return std::int64_t{t.count() / 1000}; };
    return {{"name", config_.name},
            {"port", std::int64_t{port()}},
            {"instances", std::int64_t{config_.settings.instance_count}},
            {"memory_mb", config_.limits.memory_mb},
            {"sockets", std::int64_t{config_.limits.sockets}},
            {"host_idle_ms", ms(config_.idle_timeout)},
            {"host_connect_ms", ms(config_.connect_timeout)}};
}

// ---- core::Outside
// ---------------------------------------------------------------------------------------

void Node::start_timer(Micros from_now, core::Timer timer) {
    timers_.start(from_now, timer.token);
}
void Node::send_attempt(const core::AttemptKey& key, const std::string& host, Micros) {
    auto command = frontend_->upstream_command(key.request);
    if (!command) {
        upstream_resp::HostResponse none;
        none.outcome = Outcome::not_started;
        return on_attempt_ended(key, host, 0us, std::move(none));
    }
    if (log_.wants(log::Level::debug))
        trace("attempt", key.request,
              {{"client_id", fmt::format("{:016x}", frontend_->client_id(key.request))},
               {"attempt", std::int64_t{key.attempt}},
               {"host", host}});
    upstream_->send(key, host, std::move(command));
}
void Node::cancel_attempt(const core::AttemptKey& key) {
    upstream_->cancel(key);
}
bool Node::withdraw_attempt(const core::AttemptKey& key) {
    return upstream_->withdraw(key);
}
void Node::start_health_check(const std::string& host) {
    upstream_->start_health_check(host);
}
void Node::send_message(int rank, const std::string& bytes) {
    if (peers_) peers_->send(rank, bytes);
}
void Node::finish_request(RequestId id, const core::FinalResponse& answer) {
    if (answer.rejected) ++refused_[static_cast<std::size_t>(answer.reject_reason)];
    if (log_.wants(log::Level::debug))
        trace(
            answer.rejected ? "refused" : "failed", id,
            {{"client_id", fmt::format("{:016x}", frontend_->client_id(id))},
             {"why", answer.rejected ? refuse_texts[static_cast<std::size_t>(answer.reject_reason)]
                                     : fail_texts[static_cast<std::size_t>(answer.failure_reason)]},
             {"retry_after_us", std::int64_t{answer.retry_after.count()}}});
    frontend_->finish(id, answer);
}
void Node::abort_response(RequestId) {}  // an answer is taken whole or not at all

void Node::on_attempt_blocked(const core::AttemptKey& key, const std::string& host,
                              rules::BlockReason why) {
    trace("attempt_stopped", key.request,
          {{"attempt", std::int64_t{key.attempt}},
           {"host", host},
           {"why", std::string(rules::to_string(why))}});
}

// ---- upstream_resp::AttemptCallbacks
// -------------------------------------------------------------------------------

std::optional<Micros> Node::begin_send(const core::AttemptKey& key) {
    frontend_->check_client_connected(key.request);
    // Read afresh: the turn may have taken long since it began.
    return core_->begin_send(event::Loop::clock() + offset_, key);
}
void Node::on_attempt_ended(const core::AttemptKey& key, const std::string& host, Micros elapsed,
                            upstream_resp::HostResponse response) {
    ++ended_[static_cast<std::size_t>(response.outcome)];
    if (log_.wants(log::Level::debug))
        trace("attempt_ended", key.request,
              {{"attempt", std::int64_t{key.attempt}},
               {"host", host},
               {"outcome", outcome_texts[static_cast<std::size_t>(response.outcome)]},
               {"took_us", std::int64_t{elapsed.count()}}});
    if (response.outcome != Outcome::success)
        return core_->on_attempt_ended(now(), key, host, response.outcome, elapsed,
                                       response.report);
    if (core_->on_response_started(now(), key, host, elapsed, response.report,
                                   response.actual_units)) {
        trace("served", key.request, {{"attempt", std::int64_t{key.attempt}}, {"host", host}});
        frontend_->respond(key.request, response.value);
        core_->on_response_ended(now(), key.request, true);
    }
}
void Node::on_health_check_ended(HealthCheckEnded ended) {
    core_->on_health_check_ended(now(), std::move(ended));
}

}  // namespace silverreach::cli

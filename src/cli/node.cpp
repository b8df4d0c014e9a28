#include "cli/node.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros drain_poll_interval = 10ms;
constexpr int reserved_descriptors = 24;  // listener, discovery, peers, loop, log, files
// Values in log lines, indexed by RejectReason, FailureReason and Outcome.
const std::array<std::string, 7> reject_reason_names{"quota",   "ceiling",   "open", "pressed",
                                                     "no_host", "no_answer", "late"};
const std::array<std::string, 2> failure_reason_names{"bad_answer", "no_time"};
const std::array<std::string, 8> outcome_names{"good",           "error", "full",      "timeout",
                                               "connect_failed", "reset", "cancelled", "moot"};
// Time by which an idle connection is closed before its host closes it.
constexpr Micros host_idle_margin = 2s;

Micros unix_now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}
std::int64_t to_int64(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

constexpr std::size_t min_socket_buffer_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_socket_buffer_bytes = std::size_t{128} * 1024;

// Returns the limit of the system's buffer of one client's connection in one direction. Those of
// all clients together may take a quarter of the memory; the system doubles what is set.
int socket_buffer_bytes(std::size_t memory_bytes, std::size_t client_descriptors) {
    return static_cast<int>(std::clamp(memory_bytes / 4 / client_descriptors / 4,
                                       min_socket_buffer_bytes, max_socket_buffer_bytes));
}

// Returns how many descriptors the configuration and the system both allow.
int descriptor_limit(const platform::NodeLimits& limits) {
    rlimit resource_limit{};
    if (getrlimit(RLIMIT_NOFILE, &resource_limit) != 0 || resource_limit.rlim_cur == RLIM_INFINITY)
        return limits.sockets;
    return static_cast<int>(
        std::min<rlim_t>(resource_limit.rlim_cur, static_cast<rlim_t>(limits.sockets)));
}
}  // namespace

Node::Node(event::Loop& loop, platform::NodeConfig config, log::Log& log)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      unix_offset_(unix_now() - event::Loop::clock()),
      command_validator_(config_),
      timers_(loop, [this](std::uint64_t token) { core_->on_timer(now(), {token}); }) {
    core_ = std::make_unique<core::RequestCoordinator>(config_.settings, 0, config_.seed, now(),
                                                       static_cast<core::Environment&>(*this));
    const auto sockets = static_cast<std::size_t>(
        std::max(8, descriptor_limit(config_.limits) - reserved_descriptors));
    upstream_resp::UpstreamLimits upstream_limits;
    upstream_limits.max_connections = sockets / 2;
    upstream_limits.connect_timeout = config_.connect_timeout;
    upstream_limits.health_check_timeout = config_.connect_timeout;
    upstream_limits.idle_timeout =
        std::max<Micros>(config_.idle_timeout / 2, config_.idle_timeout - host_idle_margin);
    upstream_limits.max_buffered_bytes =
        static_cast<std::size_t>(config_.limits.memory_mb) * 1024 * 1024 / 8;
    upstream_limits.request_load_report = config_.settings.load_report_mode != LoadReportMode::none;
    upstream_ = std::make_unique<upstream_resp::Upstream>(
        loop, upstream_limits, static_cast<upstream_resp::AttemptCallbacks&>(*this));
    if (config_.peer_listen && config_.settings.may_message_peers)
        peers_ = std::make_unique<peers::RawTransport>(
            loop, *config_.peer_listen, config_.peers, config_.broadcast, config_.settings.rank,
            [this](int rank, std::string bytes) {
                core_->on_peer_message(now(), {rank, std::move(bytes)});
            });
    platform::TargetList initial_list = config_.initial_list;
    initial_list.complete = true;
    on_hosts_changed(initial_list);
    frontend::resp::FrontendLimits frontend_limits;
    const std::size_t client_descriptors = sockets - upstream_limits.max_connections;
    frontend_limits.max_lingering = client_descriptors / 8;
    frontend_limits.max_connections = client_descriptors - frontend_limits.max_lingering;
    frontend_limits.max_buffered_bytes =
        static_cast<std::size_t>(config_.limits.memory_mb) * 1024 * 1024 / 16;
    const auto memory_bytes = static_cast<std::size_t>(config_.limits.memory_mb) * 1024 * 1024;
    frontend_limits.max_in_hand_bytes = memory_bytes / 4;
    frontend_limits.socket_buffer_bytes = socket_buffer_bytes(memory_bytes, client_descriptors);
    frontend_ = std::make_unique<frontend::resp::Frontend>(loop, config_.listen, command_validator_,
                                                           frontend_limits, *core_,
                                                           [this] { return now(); });
    frontend_->set_shortage_handler(
        [this] { return upstream_->evict_unused() || frontend_->close_idle(); });
    frontend_->on_close([this](const frontend::resp::ConnectionClose& close) {
        if (!log_.is_enabled(log::Level::debug)) return;
        log_.write(log::Level::debug, "client_closed",
                   {{"why", std::string(frontend::resp::to_string(close.reason))},
                    {"in_hand", to_int64(close.requests_in_flight)},
                    {"open_us", std::int64_t{close.open_duration.count()}}});
    });
    discovery::DiscoveryWatch::Callbacks callbacks;
    callbacks.on_list = [this](const platform::TargetList& list) { on_hosts_changed(list); };
    callbacks.on_unavailable = [this](const discovery::DiscoveryError& error) {
        log_.write(log::Level::warning, "discovery_lost", {{"why", error.message()}});
    };
    const std::int64_t initial_revision =
        config_.initial_list.targets.empty() ? -1 : config_.initial_list.revision;
    discovery_watch_ = std::make_unique<discovery::DiscoveryWatch>(
        loop, config_.discovery, initial_revision, std::move(callbacks));
}
Node::~Node() {
    alive_.reset();
    discovery_watch_.reset();
    frontend_.reset();
    upstream_.reset();
}

void Node::on_hosts_changed(const platform::TargetList& list) {
    log_.write(log::Level::info, "hosts",
               {{"revision", list.revision},
                {"whole", std::int64_t{list.complete}},
                {"listed", to_int64(list.targets.size())}});
    upstream_->update_hosts(list);
    EndpointsChanged change;
    change.complete = list.complete;
    for (const platform::Target& target : list.targets)
        change.endpoints.push_back(target.entry);
    core_->on_endpoints_changed(now(), std::move(change));
    upstream_->end_unsent_to_unlisted();
}

void Node::reload(const platform::NodeConfig& new_config) {
    log_.write(log::Level::warning, "configuration",
               {{"discovery", new_config.discovery.to_string()}});
    discovery_watch_->redirect(new_config.discovery);
}

void Node::drain(Micros notice, Micros request_window, std::function<void()> done) {
    if (std::exchange(draining_, true)) return;
    log_.write(log::Level::warning, "draining", {{"in_hand", to_int64(frontend_->in_flight())}});
    const Micros deadline = loop_.now() + request_window;
    loop_.after(notice, [this, deadline, done = std::move(done),
                         alive = std::weak_ptr<bool>(alive_)]() mutable {
        if (alive.expired()) return;
        frontend_->start_draining(deadline);
        wait_for_drain(std::move(done));
    });
}
// Waits without a time limit, because stopping with a request in flight would lose it.
void Node::wait_for_drain(std::function<void()> done) {
    if (!frontend_->listening() && frontend_->stats().connections == 0) return done();
    loop_.after(drain_poll_interval,
                [this, done = std::move(done), alive = std::weak_ptr<bool>(alive_)]() mutable {
                    if (!alive.expired()) wait_for_drain(std::move(done));
                });
}

void Node::log_counts() {
    log_.write(log::Level::info, "counts", traffic_fields());
    log_.write(log::Level::info, "closes", close_fields());
    const log::Fields rules = rule_fields();
    const auto violations = core_->counters().late_responses +
                            core_->counters().unchecked_attempts +
                            frontend_->stats().closed_with_requests;
    log_.write(violations > 0 ? log::Level::error : log::Level::info, "rules", rules);
    log_.flush();
}

log::Fields Node::traffic_fields() const {
    const core::Counters& counters = core_->counters();
    const upstream_resp::Upstream::Stats upstream_stats = upstream_->stats();
    const auto& connection_stats = upstream_stats.connections;
    const auto& response_stats = upstream_stats.responses;
    const auto frontend_stats = frontend_->stats();
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto rejections = [this](RejectReason reason) {
        return rejections_[static_cast<std::size_t>(reason)];
    };
    const auto ended_attempts = [this](Outcome outcome) {
        return to_int64(ended_attempts_[static_cast<std::size_t>(outcome)]);
    };
    const auto cpu_ms = [](const timeval& time) {
        return std::int64_t{time.tv_sec} * 1000 + time.tv_usec / 1000;
    };
    return {{"taken", to_int64(counters.received)},
            {"served", to_int64(counters.served)},
            {"refused", to_int64(counters.rejected)},
            {"refused_quota", to_int64(rejections(RejectReason::quota_exhausted) +
                                       rejections(RejectReason::concurrency_limit))},
            {"refused_ceiling", to_int64(rejections(RejectReason::ceiling_reached))},
            {"refused_pressed", to_int64(rejections(RejectReason::overloaded))},
            {"refused_no_host", to_int64(rejections(RejectReason::no_endpoint))},
            {"refused_no_answer", to_int64(rejections(RejectReason::no_response))},
            {"failed", to_int64(counters.failed)},
            {"left", to_int64(counters.disconnected)},
            {"attempts", to_int64(counters.attempts)},
            {"ended_error", ended_attempts(Outcome::error)},
            {"ended_full", ended_attempts(Outcome::rejected)},
            {"ended_timeout", ended_attempts(Outcome::timeout)},
            {"ended_connect_failed", ended_attempts(Outcome::connect_failed)},
            {"ended_reset", ended_attempts(Outcome::reset)},
            {"ended_moot", ended_attempts(Outcome::not_started)},
            {"held", to_int64(core_->in_flight())},
            {"clients", to_int64(frontend_stats.connections)},
            {"accepted", to_int64(frontend_stats.accepted)},
            {"nonsense", to_int64(frontend_stats.invalid_commands)},
            {"broken", to_int64(frontend_stats.protocol_errors)},
            {"buffer_full", to_int64(frontend_stats.buffer_limit_reached)},
            {"buffered_bytes", to_int64(frontend_stats.buffered_bytes)},
            {"silent", to_int64(frontend_stats.silent)},
            {"turned_away", to_int64(frontend_stats.rejected)},
            {"hosts", to_int64(connection_stats.hosts)},
            {"host_connections", to_int64(connection_stats.open)},
            {"opened", to_int64(connection_stats.opened)},
            {"reused", to_int64(connection_stats.reused)},
            {"waited", to_int64(connection_stats.waited)},
            {"stale", to_int64(connection_stats.stale)},
            {"spoilt", to_int64(response_stats.malformed)},
            {"more", to_int64(connection_stats.unsolicited + response_stats.trailing_bytes)},
            {"full", to_int64(connection_stats.full)},
            {"stopped", to_int64(response_stats.stalled)},
            {"peers_sent", to_int64(peers_ ? peers_->stats().sent : 0)},
            {"peers_received", to_int64(peers_ ? peers_->stats().received : 0)},
            {"peers_dropped", to_int64(peers_ ? peers_->stats().dropped : 0)},
            {"cpu_ms", cpu_ms(usage.ru_utime) + cpu_ms(usage.ru_stime)},
            {"peak_kib", std::int64_t{usage.ru_maxrss}}};
}

// Returns the number of client connections that ended, by reason.
log::Fields Node::close_fields() const {
    const auto closes = frontend_->stats().closes;
    log::Fields fields;
    for (std::size_t i = 0; i < closes.size(); ++i)
        fields.emplace_back(frontend::resp::to_string(static_cast<frontend::resp::CloseReason>(i)),
                            to_int64(closes[i]));
    return fields;
}

// Returns the attempts that the rules stopped, and the violations of rules: the last three fields,
// which must stay 0.
log::Fields Node::rule_fields() const {
    const core::Counters& counters = core_->counters();
    log::Fields fields{{"stopped_choices", to_int64(counters.blocked_choices.total())},
                       {"stopped_handovers", to_int64(counters.blocked_sends.total())}};
    for (std::size_t i = 0; i < rules::block_reason_count; ++i) {
        const auto reason = static_cast<rules::BlockReason>(i);
        const std::uint64_t blocked =
            counters.blocked_choices.count(reason) + counters.blocked_sends.count(reason);
        if (blocked > 0) fields.emplace_back(rules::to_string(reason), to_int64(blocked));
    }
    fields.emplace_back("late_answers", to_int64(counters.late_responses));
    fields.emplace_back("unchecked_attempts", to_int64(counters.unchecked_attempts));
    fields.emplace_back("closed_in_hand", to_int64(frontend_->stats().closed_with_requests));
    return fields;
}

void Node::log_request_event(std::string_view event, RequestId id, log::Fields fields) {
    if (!log_.is_enabled(log::Level::debug)) return;
    fields.insert(fields.begin(), {"request", to_int64(id)});
    log_.write(log::Level::debug, event, fields);
}

log::Fields Node::limit_fields() const {
    const auto ms = [](Micros time) { return std::int64_t{time.count() / 1000}; };
    return {{"name", config_.name},
            {"port", std::int64_t{port()}},
            {"instances", std::int64_t{config_.settings.instance_count}},
            {"memory_mb", config_.limits.memory_mb},
            {"sockets", std::int64_t{config_.limits.sockets}},
            {"host_idle_ms", ms(config_.idle_timeout)},
            {"host_connect_ms", ms(config_.connect_timeout)}};
}

// ---- core::Environment
// ---------------------------------------------------------------------------------------

void Node::start_timer(Micros delay, core::Timer timer) {
    timers_.start(delay, timer.token);
}
void Node::send_attempt(const core::AttemptKey& key, const std::string& host, Micros) {
    auto command = frontend_->upstream_command(key.request);
    if (!command) {
        upstream_resp::HostResponse unsent;
        unsent.outcome = Outcome::not_started;
        return on_attempt_ended(key, host, 0us, std::move(unsent));
    }
    if (log_.is_enabled(log::Level::debug))
        log_request_event("attempt", key.request,
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
void Node::send_peer_message(int rank, const std::string& bytes) {
    if (peers_) peers_->send(rank, bytes);
}
void Node::finish_request(RequestId id, const core::FinalResponse& response) {
    if (response.rejected) ++rejections_[static_cast<std::size_t>(response.reject_reason)];
    if (log_.is_enabled(log::Level::debug))
        log_request_event(
            response.rejected ? "refused" : "failed", id,
            {{"client_id", fmt::format("{:016x}", frontend_->client_id(id))},
             {"why", response.rejected
                         ? reject_reason_names[static_cast<std::size_t>(response.reject_reason)]
                         : failure_reason_names[static_cast<std::size_t>(response.failure_reason)]},
             {"retry_after_us", std::int64_t{response.retry_after.count()}}});
    frontend_->finish(id, response);
}
void Node::abort_response(RequestId) {}  // responses are forwarded only when complete

void Node::on_attempt_blocked(const core::AttemptKey& key, const std::string& host,
                              rules::BlockReason reason) {
    log_request_event("attempt_stopped", key.request,
                      {{"attempt", std::int64_t{key.attempt}},
                       {"host", host},
                       {"why", std::string(rules::to_string(reason))}});
}

// ---- upstream_resp::AttemptCallbacks
// -------------------------------------------------------------------------------

std::optional<Micros> Node::begin_send(const core::AttemptKey& key) {
    frontend_->check_client_connected(key.request);
    // Reads the clock again, because the loop's time is that of the start of its turn.
    return core_->begin_send(event::Loop::clock() + unix_offset_, key);
}
void Node::on_attempt_ended(const core::AttemptKey& key, const std::string& host, Micros elapsed,
                            upstream_resp::HostResponse response) {
    ++ended_attempts_[static_cast<std::size_t>(response.outcome)];
    if (log_.is_enabled(log::Level::debug))
        log_request_event("attempt_ended", key.request,
                          {{"attempt", std::int64_t{key.attempt}},
                           {"host", host},
                           {"outcome", outcome_names[static_cast<std::size_t>(response.outcome)]},
                           {"took_us", std::int64_t{elapsed.count()}}});
    if (response.outcome != Outcome::success)
        return core_->on_attempt_ended(now(), key, host, response.outcome, elapsed,
                                       response.report);
    if (core_->on_response_started(now(), key, host, elapsed, response.report,
                                   response.actual_units)) {
        log_request_event("served", key.request,
                          {{"attempt", std::int64_t{key.attempt}}, {"host", host}});
        frontend_->respond(key.request, response.value);
        core_->on_response_ended(now(), key.request, true);
    }
}
void Node::on_health_check_ended(HealthCheckEnded ended) {
    core_->on_health_check_ended(now(), std::move(ended));
}

}  // namespace silverreach::cli

#include "cli/instance.h"

#include <random>
#include <stdexcept>

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros drain_poll_interval = 20ms;

std::uint64_t seed_of(const config::Config& config) {
    if (config.has_seed()) return config.seed();
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}
std::int64_t to_int64(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}
std::string_view outcome_name(Outcome outcome) {
    constexpr std::array<std::string_view, 8> names = {
        "good", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
    return names[static_cast<std::size_t>(outcome)];
}
}  // namespace

Instance::Instance(event::Loop& loop, const config::Config& config, std::string folder,
                   log::Log& log)
    : loop_(loop),
      config_(config),
      folder_(std::move(folder)),
      log_(log),
      timers_(loop, [this](std::uint64_t token) { core_->on_timer(loop_.now(), {token}); }),
      background_(loop) {
    std::vector<openapi::Problem> problems;
    description_ = read_description(problems);
    if (!description_) {
        std::string message;
        for (const auto& problem : problems)
            message += (message.empty() ? "" : "\n") + openapi::to_string(problem);
        throw std::runtime_error(message);
    }
    if (config.has_registry()) {
        const std::string& configured_path = config.registry();
        registry::ReloadingKeyIndex::Callbacks callbacks;
        callbacks.on_loaded = [this](std::uint64_t version) {
            log_.write(log::Level::warning, "registry", {{"version", to_int64(version)}});
        };
        callbacks.on_load_failed = [this](const std::string& reason) {
            log_.write(log::Level::error, "registry_kept", {{"why", reason}});
        };
        key_index_ = std::make_unique<registry::ReloadingKeyIndex>(
            loop, config,
            configured_path.starts_with('/') ? configured_path : folder_ + "/" + configured_path,
            std::move(callbacks));
    } else {
        key_index_ = std::make_unique<config::StaticKeyIndex>(config);
    }
    const std::uint64_t seed = seed_of(config);
    core_ = std::make_unique<core::RequestCoordinator>(
        config::settings_of(config), config.peers().account_spread(), seed, loop.now(),
        static_cast<core::Environment&>(*this));
    upstream_ = std::make_unique<upstream_http::Upstream>(
        loop, config, static_cast<upstream_http::AttemptCallbacks&>(*this));
    if (config.has_peers())
        peers_ = std::make_unique<peers::EnvelopeTransport>(
            loop, config, [this](int rank, std::string bytes) {
                core_->on_peer_message(loop_.now(), {rank, std::move(bytes)});
            });
    frontend::http::FrontendCallbacks callbacks;
    callbacks.description = [this] { return description_; };
    callbacks.log_access = [this](const frontend::http::AccessLogEntry& entry) {
        log_access(entry);
    };
    callbacks.serves_account = [this](const config::AccountRef& account) {
        const int instances = std::max(1, config_.peers().peer_size());
        return core_->subset_of(account.name).contains(config_.peers().rank(), instances);
    };
    discovery::EndpointDiscoveryCallbacks discovery_callbacks;
    discovery_callbacks.on_endpoints = [this](std::vector<EndpointEntry> hosts) {
        on_hosts_changed(std::move(hosts));
    };
    discovery_callbacks.on_invalid_list = [this](
                                              const std::vector<openapi::Problem>& list_problems) {
        for (const auto& problem : list_problems)
            log_.write(log::Level::error, "hosts_bad", {{"problem", openapi::to_string(problem)}});
    };
    discovery_callbacks.on_unavailable = [this](const discovery::DiscoveryError& error) {
        log_.write(log::Level::warning, "hosts_unreachable", {{"why", error.message()}});
    };
    frontend_ = std::make_unique<frontend::http::Frontend>(loop, config, *key_index_, *core_,
                                                           std::move(callbacks));
    discovery_ =
        discovery::start_endpoint_discovery(loop, config, folder_, std::move(discovery_callbacks));
}
Instance::~Instance() {
    alive_.reset();
    // Connections of the front end report their end to the core, which may then use the upstream,
    // so the front end is destroyed first.
    discovery_.reset();
    frontend_.reset();
    upstream_.reset();
}

std::shared_ptr<const openapi::Description> Instance::read_description(
    std::vector<openapi::Problem>& problems) const {
    const std::string& configured_path = config_.api().description();
    const std::string path =
        configured_path.starts_with('/') ? configured_path : folder_ + "/" + configured_path;
    const auto text = read_file(path);
    if (!text) {
        problems.push_back({path, 0, "api.description", "a readable file"});
        return nullptr;
    }
    try {
        return openapi::load(*text, path, config::policy_of(config_), problems);
    } catch (const std::exception& error) {
        problems.push_back({path, 0, "document",
                            std::string("a description that can be read (") + error.what() + ")"});
        return nullptr;
    }
}

// Reads on a background thread, because reading a large description would delay responses too
// long.
void Instance::reload(std::function<void(bool)> done) {
    if (background_.is_busy()) {
        reload_pending_ = true;
        if (done) done(false);
        return;
    }
    struct LoadResult {
        std::vector<openapi::Problem> problems;
        std::shared_ptr<const openapi::Description> description;
    };
    auto result = std::make_shared<LoadResult>();
    background_.run([this, result] { result->description = read_description(result->problems); },
                    [this, result, done = std::move(done)] {
                        const bool applied =
                            apply_description(std::move(result->description), result->problems);
                        if (done) done(applied);
                        if (std::exchange(reload_pending_, false)) reload();
                    });
}

bool Instance::apply_description(std::shared_ptr<const openapi::Description> new_description,
                                 const std::vector<openapi::Problem>& problems) {
    for (const auto& problem : problems)
        log_.write(log::Level::error, "description_bad",
                   {{"problem", openapi::to_string(problem)}});
    if (!new_description) {
        log_.write(log::Level::error, "description_kept",
                   {{"problems", to_int64(problems.size())}});
        return false;
    }
    description_ = std::move(new_description);
    log_.write(log::Level::warning, "description_changed",
               {{"version", description_->version},
                {"routes", to_int64(description_->table.routes().size())}});
    return true;
}

void Instance::drain(Micros timeout, std::function<void()> done) {
    frontend_->start_draining();
    log_.write(log::Level::info, "draining", {{"in_hand", to_int64(frontend_->in_flight())}});
    wait_for_drain(loop_.now() + timeout, std::move(done));
}
void Instance::wait_for_drain(Micros deadline, std::function<void()> done) {
    if (!frontend_->has_unfinished_work() || loop_.now() >= deadline) return done();
    loop_.after(drain_poll_interval, [this, deadline, done = std::move(done),
                                      alive = std::weak_ptr<bool>(alive_)]() mutable {
        if (!alive.expired()) wait_for_drain(deadline, std::move(done));
    });
}

void Instance::log_counts() {
    const core::Counters& counters = core_->counters();
    const auto upstream_stats = upstream_->stats();
    log::Fields fields = {{"taken", to_int64(counters.received)},
                          {"served", to_int64(counters.served)},
                          {"refused", to_int64(counters.rejected)},
                          {"failed", to_int64(counters.failed)},
                          {"left", to_int64(counters.disconnected)},
                          {"broken", to_int64(counters.aborted)},
                          {"attempts", to_int64(counters.attempts)},
                          {"held", to_int64(core_->in_flight())},
                          {"clients", to_int64(frontend_->connections())},
                          {"unsent", to_int64(frontend_->closed_with_unsent_bytes())},
                          {"buffered_bytes", to_int64(frontend_->buffered_bytes())},
                          {"buffer_full", to_int64(frontend_->buffer_limit_reached())},
                          {"host_connections", to_int64(upstream_stats.open)},
                          {"opened", to_int64(upstream_stats.opened)},
                          {"reused", to_int64(upstream_stats.reused)}};
    log_.write(log::Level::info, "counts", fields);
    log_.flush();
    if (!peers_) return;
    const auto& peer_stats = peers_->stats();
    fields = {{"sent", to_int64(peer_stats.sent)},
              {"received", to_int64(peer_stats.received)},
              {"not_sent", to_int64(peer_stats.lost)}};
    for (std::size_t i = 1; i < peer_stats.dropped.size(); ++i)
        if (peer_stats.dropped[i] > 0)
            fields.push_back({peers::to_string(static_cast<peers::DropReason>(i)),
                              to_int64(peer_stats.dropped[i])});
    log_.write(log::Level::info, "peers", fields);
}

void Instance::log_access(const frontend::http::AccessLogEntry& entry) {
    const bool not_served = entry.reason != "served";
    if (!log_.is_enabled(not_served ? log::Level::info : log::Level::debug)) return;
    log_.write(not_served ? log::Level::info : log::Level::debug, "request",
               {{"id", entry.request_id},
                {"reason", entry.reason},
                {"status", static_cast<std::int64_t>(entry.status)},
                {"method", entry.method},
                {"path", entry.path},
                {"account", entry.account},
                {"key", entry.key_id},
                {"class", entry.request_class},
                {"units", entry.units},
                {"took_us", static_cast<std::int64_t>(entry.duration.count())},
                {"client", entry.client}});
}

void Instance::on_hosts_changed(std::vector<EndpointEntry> hosts) {
    log_.write(log::Level::info, "hosts", {{"listed", to_int64(hosts.size())}});
    upstream_->update_hosts(hosts);
    core_->on_endpoints_changed(loop_.now(), {true, std::move(hosts)});
}

// ---- core::Environment
// ---------------------------------------------------------------------------------------

void Instance::start_timer(Micros delay, core::Timer timer) {
    timers_.start(delay, timer.token);
}
void Instance::send_attempt(const core::AttemptKey& key, const std::string& host, Micros) {
    auto request = frontend_->upstream_request(key.request);
    if (!request)
        return core_->on_attempt_ended(loop_.now(), key, host, Outcome::not_started, 0us, {});
    upstream_->send(key, host, std::move(request));
}
void Instance::cancel_attempt(const core::AttemptKey& key) {
    upstream_->cancel(key);
}
bool Instance::withdraw_attempt(const core::AttemptKey& key) {
    return upstream_->withdraw(key);
}
void Instance::start_health_check(const std::string& host) {
    upstream_->start_health_check(host);
}
void Instance::send_peer_message(int rank, const std::string& bytes) {
    if (peers_) peers_->send(rank, bytes);
}
void Instance::finish_request(RequestId id, const core::FinalResponse& response) {
    frontend_->finish(id, response);
}
void Instance::abort_response(RequestId id) {
    frontend_->abort(id);
}

// ---- upstream_http::AttemptCallbacks
// ------------------------------------------------------------------------------------

bool Instance::begin_send(const core::AttemptKey& key) {
    frontend_->check_client_connected(key.request);
    return core_->begin_send(event::Loop::clock(), key).has_value();
}
bool Instance::on_response_started(const core::AttemptKey& key, const std::string& host,
                                   Micros elapsed, const LoadReport& report, http::Head& head) {
    if (!core_->on_response_started(loop_.now(), key, host, elapsed, report)) return false;
    frontend_->start_response(key.request, head,
                              [this, key](bool pause) { upstream_->set_reading(key, !pause); });
    return true;
}
void Instance::on_response_body(const core::AttemptKey& key, std::string_view bytes) {
    frontend_->append_body(key.request, bytes);
}
void Instance::on_response_ended(const core::AttemptKey& key, bool complete,
                                 const http::Fields& trailers) {
    core_->on_response_ended(loop_.now(), key.request, complete);
    frontend_->end_response(key.request, complete, trailers);
}
void Instance::on_attempt_ended(const core::AttemptKey& key, const std::string& host,
                                Outcome outcome, Micros elapsed, const LoadReport& report,
                                int status) {
    if (log_.is_enabled(log::Level::debug))
        log_.write(log::Level::debug, "attempt",
                   {{"request", to_int64(key.request)},
                    {"attempt", static_cast<std::int64_t>(key.attempt)},
                    {"host", host},
                    {"outcome", std::string(outcome_name(outcome))},
                    {"status", static_cast<std::int64_t>(status)},
                    {"took_us", static_cast<std::int64_t>(elapsed.count())}});
    core_->on_attempt_ended(loop_.now(), key, host, outcome, elapsed, report);
}
void Instance::on_health_check_ended(HealthCheckEnded ended) {
    core_->on_health_check_ended(loop_.now(), std::move(ended));
}

}  // namespace silverreach::cli

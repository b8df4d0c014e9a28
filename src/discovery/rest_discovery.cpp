#include "discovery/rest_discovery.h"

#include <fmt/format.h>

#include <cstring>
#include <nlohmann/json.hpp>

namespace silverreach::discovery {
namespace {
using namespace std::chrono_literals;
constexpr Micros response_timeout = 2s;
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
}  // namespace

RestDiscovery::RestDiscovery(event::Loop& loop, const config::Config& config,
                             EndpointDiscoveryCallbacks callbacks)
    : loop_(loop),
      config_(config),
      service_(*config::parse_endpoint(config.hosts().discovery())),
      updater_(loop, config.hosts().cluster(), std::move(callbacks)),
      parser_(http::Parser::Kind::response, *this) {
    poll();
}

void RestDiscovery::poll() {
    if (state_ == State::awaiting_response && loop_.now() - requested_at_ >= response_timeout)
        on_failure(DiscoveryErrorCode::unresponsive, "no response within the time limit");
    if (state_ == State::idle) send_request();
    schedule_poll();
}

void RestDiscovery::schedule_poll() {
    loop_.after(std::chrono::milliseconds(config_.hosts().discovery_ms()),
                [this, alive = std::weak_ptr<bool>(alive_)] {
                    if (!alive.expired()) poll();
                });
}

bool RestDiscovery::connect() {
    if (stream_ && !stream_->closed()) return true;
    int error = 0;
    event::Fd fd = event::connect_to(service_.ip, service_.port, service_.is_ipv6, error);
    if (!fd) {
        on_failure(DiscoveryErrorCode::connect_failed, std::strerror(error));
        return false;
    }
    stream_ = std::make_unique<event::Stream>(loop_, std::move(fd),
                                              static_cast<event::StreamOwner&>(*this), true);
    return true;
}

void RestDiscovery::send_request() {
    retired_stream_.reset();
    if (!connect()) return;
    const std::string body = request_body();
    parser_.next();
    body_.clear();
    state_ = State::awaiting_response;
    requested_at_ = loop_.now();
    stream_->write(fmt::format("POST /v3/discovery:endpoints HTTP/1.1\r\nHost: {}\r\nContent-Type: "
                               "application/json\r\nContent-Length: {}\r\n\r\n",
                               service_.to_string(), body.size()) +
                   body);
}

std::string RestDiscovery::request_body() const {
    const nlohmann::json body = {
        {"versionInfo", updater_.version()},
        {"node",
         {{"id", fmt::format("silverreach-{}", config_.peers().rank())},
          {"cluster", config_.fleet()},
          {"locality", {{"zone", config_.zone()}}}}},
        {"resourceNames", {config_.hosts().cluster()}},
        {"typeUrl", "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"}};
    return body.dump();
}

void RestDiscovery::on_data(std::string_view bytes) {
    parser_.feed(bytes);
    if (parser_.done() && state_ == State::awaiting_response) on_response();
}

void RestDiscovery::on_end() {
    on_failure(DiscoveryErrorCode::connection_lost, "the service closed the connection");
}

void RestDiscovery::on_broken(int error) {
    on_failure(DiscoveryErrorCode::connection_lost, std::strerror(error));
}

bool RestDiscovery::on_head(http::Head& head) {
    status_ = head.status;
    keep_alive_ = head.keep_alive;
    return true;
}

void RestDiscovery::on_body(std::string_view bytes) {
    if (body_.size() + bytes.size() <= max_response_bytes) body_.append(bytes);
}

void RestDiscovery::on_fault(const http::Fault& fault) {
    on_failure(DiscoveryErrorCode::unexpected_reply, std::string(fault.why));
}

void RestDiscovery::on_response() {
    state_ = State::idle;
    if (!keep_alive_) stream_->close();
    const bool unchanged = status_ == 304;
    if (status_ != 200 && !unchanged)
        return on_failure(DiscoveryErrorCode::unexpected_reply,
                          fmt::format("unexpected HTTP status {}", status_));
    failure_reported_ = false;
    if (!unchanged) updater_.update(body_, "discovery " + service_.to_string());
}

void RestDiscovery::on_failure(DiscoveryErrorCode code, std::string detail) {
    state_ = State::idle;
    if (stream_) {
        stream_->close();
        retired_stream_ = std::move(stream_);
    }
    if (std::exchange(failure_reported_, true)) return;
    updater_.report_unavailable({code, service_.to_string(), std::move(detail)});
}

}  // namespace silverreach::discovery

#include "discovery/discovery_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

#include "http/parser.h"
#include "platform/object_reader.h"

namespace silverreach::discovery {

// The response of one watch, on a connection of its own. Reports its end to the watch once.
class DiscoveryWatch::WatchStream : public event::StreamOwner, public http::Parser::Events {
  public:
    WatchStream(DiscoveryWatch& watch, event::Fd fd, const std::string& request)
        : watch_(watch),
          stream_(watch.loop_, std::move(fd), *this, true),
          parser_(http::Parser::Kind::response, *this),
          opened_at_(watch.loop_.now()),
          last_activity_(opened_at_) {
        stream_.write(request);
    }
    void close() {
        stream_.close();
        closed_ = true;
    }
    Micros open_for(Micros now) const { return now - opened_at_; }
    // Activity is a keep-alive line or a complete object; a part of an object is not.
    Micros inactive_for(Micros now) const { return now - last_activity_; }

    void on_data(std::string_view bytes) override {
        parser_.feed(bytes);
        if (!closed_ && parser_.done())
            end(DiscoveryErrorCode::connection_lost, "the service ended the response");
    }
    void on_end() override {
        end(DiscoveryErrorCode::connection_lost, "the service closed the connection");
    }
    void on_error(int error) override {
        end(DiscoveryErrorCode::connection_lost, std::strerror(error));
    }
    bool on_head(http::Head& head) override {
        if (head.status == 200) return true;
        end(DiscoveryErrorCode::unexpected_reply,
            fmt::format("unexpected HTTP status {}", head.status));
        return false;
    }
    void on_body(std::string_view bytes) override {
        while (!closed_ && !bytes.empty()) {
            const bool was_between_objects = objects_.is_between_objects();
            const auto status = objects_.read(bytes);
            if (status == platform::ObjectReader::Status::malformed)
                return end_with_malformed_list(std::string(objects_.error()));
            if (status == platform::ObjectReader::Status::complete)
                on_object(objects_.take());
            else if (was_between_objects && objects_.is_between_objects())
                last_activity_ = watch_.loop_.now();
        }
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault& fault) override {
        end(DiscoveryErrorCode::unexpected_reply, std::string(fault.reason));
    }

  private:
    void on_object(const std::string& object) {
        auto list = platform::read_targets(object);
        if (!list) return end_with_malformed_list("the response contains an invalid list");
        last_activity_ = watch_.loop_.now();
        if (watch_.is_implausible(*list))
            return end(DiscoveryErrorCode::implausible_list,
                       "the list is empty or older than the last one; requesting the complete list "
                       "to confirm it");
        watch_.on_list_accepted(std::move(*list));
    }
    void end_with_malformed_list(const std::string& detail) {
        if (closed_) return;
        close();
        watch_.on_malformed_list(detail);
    }
    void end(DiscoveryErrorCode code, const std::string& detail) {
        if (closed_) return;
        close();
        watch_.on_stream_ended(code, detail);
    }

    DiscoveryWatch& watch_;
    event::Stream stream_;
    http::Parser parser_;
    platform::ObjectReader objects_;
    Micros opened_at_;
    Micros last_activity_;
    bool closed_ = false;
};

DiscoveryWatch::DiscoveryWatch(event::Loop& loop, config::Endpoint service, std::int64_t revision,
                               Callbacks callbacks, Timeouts timeouts)
    : loop_(loop),
      service_(std::move(service)),
      revision_(revision),
      callbacks_(std::move(callbacks)),
      timeouts_(timeouts),
      backoff_(timeouts.initial_backoff),
      first_list_timeout_(timeouts.first_list) {
    connect();
    schedule_check();
}
DiscoveryWatch::~DiscoveryWatch() = default;

void DiscoveryWatch::redirect(config::Endpoint service) {
    if (service == service_) return;
    service_ = std::move(service);
    revision_ = -1;
    unconfirmed_revision_.reset();
    backoff_ = timeouts_.initial_backoff;
    first_list_timeout_ = timeouts_.first_list;
    connect();
}

void DiscoveryWatch::connect() {
    ++connect_generation_;
    if (stream_) retire_stream();
    int error = 0;
    event::Fd fd = event::connect_to(service_.ip, service_.port, service_.is_ipv6, error);
    if (!fd) return back_off(DiscoveryErrorCode::connect_failed, std::strerror(error), false);
    state_ = State::awaiting_list;
    const bool needs_complete_list = request_complete_list_ || revision_ < 0;
    const std::string since = needs_complete_list ? "" : fmt::format("&since={}", revision_);
    stream_ = std::make_unique<WatchStream>(
        *this, std::move(fd),
        fmt::format("GET /v1/endpoints?follow=1{} HTTP/1.1\r\nHost: {}\r\n\r\n", since,
                    service_.to_string()));
}

void DiscoveryWatch::on_list_accepted(platform::TargetList list) {
    state_ = State::streaming;
    first_list_timeout_ = timeouts_.first_list;
    request_complete_list_ = false;
    outage_reported_ = false;
    revision_ = list.revision;
    callbacks_.on_list(std::move(list));
}

// A stable watch is resumed immediately. Otherwise the backoff grows, so that a service that ends
// each watch is not called without a pause.
void DiscoveryWatch::back_off(DiscoveryErrorCode code, const std::string& detail, bool was_stable) {
    state_ = State::backing_off;
    if (!std::exchange(outage_reported_, true))
        callbacks_.on_unavailable({code, service_.to_string(), detail});
    const Micros delay = was_stable ? Micros(0) : backoff_;
    backoff_ =
        was_stable ? timeouts_.initial_backoff : std::min(backoff_ * 2, timeouts_.max_backoff);
    loop_.after(delay,
                [this, generation = ++connect_generation_, alive = std::weak_ptr<bool>(alive_)] {
                    if (!alive.expired() && generation == connect_generation_) connect();
                });
}

void DiscoveryWatch::on_stream_ended(DiscoveryErrorCode code, const std::string& detail) {
    back_off(code, detail, is_stable());
}

// The content of a malformed list is unknown, so changes after the last revision may be lost unless
// the complete list is requested.
void DiscoveryWatch::on_malformed_list(const std::string& detail) {
    request_complete_list_ = true;
    on_stream_ended(DiscoveryErrorCode::malformed_list, detail);
}

// Returns whether the list has an older revision, or is complete and empty, and is not confirmed.
// The service confirms such a list by repeating it when the complete list is requested.
bool DiscoveryWatch::is_implausible(const platform::TargetList& list) {
    const bool is_suspect = list.revision < revision_ || (list.complete && list.targets.empty());
    const bool is_confirmed = list.complete && unconfirmed_revision_ == list.revision;
    unconfirmed_revision_.reset();
    if (!is_suspect || is_confirmed) return false;
    unconfirmed_revision_ = list.revision;
    request_complete_list_ = true;
    return true;
}

bool DiscoveryWatch::is_stable() const {
    return state_ == State::streaming && stream_->open_for(loop_.now()) >= timeouts_.stable_after;
}

void DiscoveryWatch::retire_stream() {
    stream_->close();
    retired_stream_ = std::move(stream_);
}

void DiscoveryWatch::schedule_check() {
    loop_.after(timeouts_.check_interval, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        retired_stream_.reset();
        check_activity();
        schedule_check();
    });
}

// Detects a service that no longer responds although its connection stays open.
void DiscoveryWatch::check_activity() {
    if (state_ == State::backing_off) return;
    const Micros timeout = state_ == State::streaming ? timeouts_.inactivity : first_list_timeout_;
    if (stream_->inactive_for(loop_.now()) < timeout) return;
    const bool was_stable = is_stable();
    // A slow service may need longer for its first list.
    if (state_ == State::awaiting_list)
        first_list_timeout_ = std::min(first_list_timeout_ * 2, timeouts_.first_list_max);
    retire_stream();
    back_off(DiscoveryErrorCode::unresponsive, "no activity within the time limit", was_stable);
}

}  // namespace silverreach::discovery

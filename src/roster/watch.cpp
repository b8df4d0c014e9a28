#include "roster/watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

namespace silverreach::roster {
namespace {
using namespace std::chrono_literals;
constexpr Micros wait_first = 50ms, wait_most = 800ms;  // before another try, doubled each time
constexpr Micros silent_most = 5s;                      // the service says something every 2 s
constexpr Micros look_period = 500ms;
constexpr std::size_t most_line = 1024 * 1024;
}  // namespace

// One watch on one connection.
class Watch::Following : public event::StreamOwner, public http::Parser::Events {
  public:
    Following(Watch& watch, event::Fd fd)
        : watch_(watch),
          stream_(watch.loop_, std::move(fd), *this, true),
          parser_(http::Parser::Kind::response, *this),
          heard_(watch.loop_.now()) {
        const std::string since = watch.revision_ < 0 ? "" : fmt::format("&since={}", watch.revision_);
        stream_.write(fmt::format("GET /v1/endpoints?follow=1{} HTTP/1.1\r\nHost: {}\r\n\r\n", since,
                                  watch.at_.text()));
    }
    void close() { stream_.close(), over_ = true; }
    bool silent(Micros now) const { return now - heard_ >= silent_most; }

    void on_data(std::string_view bytes) override {
        heard_ = watch_.loop_.now();
        parser_.feed(bytes);
        if (!over_ && parser_.done()) end("the answer ended");
    }
    void on_end() override { end("the connection ended"); }
    void on_broken(int error) override { end(std::strerror(error)); }
    bool on_head(http::Head& head) override {
        if (head.status == 200) return true;
        end(fmt::format("status {}", head.status));
        return false;
    }
    void on_body(std::string_view bytes) override {
        while (!over_ && !bytes.empty()) {
            const std::size_t end_of_line = bytes.find('\n');
            line_.append(bytes.substr(0, end_of_line));
            if (line_.size() > most_line) return end("a line without end");
            if (end_of_line == std::string_view::npos) return;
            bytes.remove_prefix(end_of_line + 1);
            const std::string line = std::exchange(line_, {});
            if (line.find_first_not_of(" \r\t") != std::string::npos) take(line);
        }
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault& fault) override { end(std::string(fault.why)); }

  private:
    void take(const std::string& line) {
        auto list = platform::read_targets(line);
        if (!list) {
            // What it told is not known now: the next watch begins with the whole list.
            watch_.revision_ = -1;
            return end("a line that cannot be read");
        }
        watch_.revision_ = list->revision;
        watch_.wait_ = wait_first, watch_.told_ = false;
        watch_.hooks_.changed(std::move(*list));
    }
    void end(const std::string& why) {
        if (std::exchange(over_, true)) return;
        stream_.close();
        watch_.lost(why);
    }

    Watch& watch_;
    event::Stream stream_;
    http::Parser parser_;
    std::string line_;
    Micros heard_;
    bool over_ = false;
};

Watch::Watch(event::Loop& loop, config::Endpoint at, std::int64_t revision, Hooks hooks)
    : loop_(loop), at_(std::move(at)), revision_(revision), hooks_(std::move(hooks)), wait_(wait_first) {
    follow();
    again();
}
Watch::~Watch() = default;

void Watch::move(config::Endpoint at) {
    if (at == at_) return;
    at_ = std::move(at);
    revision_ = -1;
    wait_ = wait_first;
    follow();
}

void Watch::follow() {
    ++turn_;
    if (now_) {
        now_->close();
        old_ = std::move(now_);  // it may be in the middle of a call
    }
    int error = 0;
    event::Fd fd = event::connect_to(at_.ip, at_.port, at_.v6, error);
    if (!fd) return lost(std::strerror(error));
    now_ = std::make_unique<Following>(*this, std::move(fd));
}

void Watch::lost(const std::string& why) {
    if (!std::exchange(told_, true)) hooks_.lost(at_.text() + ": " + why);
    loop_.after(wait_, [this, turn = ++turn_, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && turn == turn_) follow();
    });
    wait_ = std::min(wait_ * 2, wait_most);
}

// A service that says nothing for long has gone, whatever the connection looks like.
void Watch::again() {
    loop_.after(look_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        old_.reset();
        if (now_ && now_->silent(loop_.now())) {
            now_->close();
            old_ = std::move(now_);
            lost("silence");
        }
        again();
    });
}

}  // namespace silverreach::roster

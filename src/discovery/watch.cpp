#include "discovery/watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

#include "platform/object_reader.h"

namespace silverreach::discovery {
// One watch on one connection.
class Watch::Following : public event::StreamOwner, public http::Parser::Events {
  public:
    Following(Watch& watch, event::Fd fd)
        : watch_(watch),
          stream_(watch.loop_, std::move(fd), *this, true),
          parser_(http::Parser::Kind::response, *this),
          heard_(watch.loop_.now()),
          begun_(heard_) {
        const std::string since =
            watch.whole_ || watch.revision_ < 0 ? "" : fmt::format("&since={}", watch.revision_);
        stream_.write(fmt::format("GET /v1/endpoints?follow=1{} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                  since, watch.at_.text()));
    }
    void close() { stream_.close(), over_ = true; }
    // Life is an empty line or a whole object; bytes that never make one are none.
    bool silent(Micros now) const {
        return !over_ && now - heard_ >= (spoke_ ? watch_.times_.silent : watch_.first_);
    }
    bool spoke() const { return spoke_; }
    // It told, and not only to end again at once.
    bool lived(Micros now) const { return spoke_ && now - begun_ >= watch_.times_.lived; }

    void on_data(std::string_view bytes) override {
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
            const bool between = objects_.between();
            const auto got = objects_.look(bytes);
            if (got == platform::ObjectReader::Got::broken)
                return unreadable(std::string(objects_.why()));
            if (got == platform::ObjectReader::Got::whole)
                take(objects_.take());
            else if (between && objects_.between())
                heard_ = watch_.loop_.now();
        }
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault& fault) override { end(std::string(fault.why)); }

  private:
    void take(const std::string& object) {
        auto list = platform::read_targets(object);
        if (!list) return unreadable("an object that cannot be read");
        heard_ = watch_.loop_.now();
        if (watch_.doubtful(*list)) return end("a list in doubt");
        spoke_ = true;
        watch_.first_ = watch_.times_.first;
        watch_.whole_ = watch_.told_ = false;
        watch_.revision_ = list->revision;
        watch_.hooks_.changed(std::move(*list));
    }
    // What it told is not known now: the next watch begins with the whole list.
    void unreadable(const std::string& why) {
        watch_.whole_ = true;
        end(why);
    }
    void end(const std::string& why) {
        if (std::exchange(over_, true)) return;
        stream_.close();
        watch_.lost(why, lived(watch_.loop_.now()));
    }

    Watch& watch_;
    event::Stream stream_;
    http::Parser parser_;
    platform::ObjectReader objects_;
    Micros heard_, begun_;
    bool over_ = false, spoke_ = false;
};

Watch::Watch(event::Loop& loop, config::Endpoint at, std::int64_t revision, Hooks hooks,
             Times times)
    : loop_(loop),
      at_(std::move(at)),
      revision_(revision),
      hooks_(std::move(hooks)),
      times_(times),
      wait_(times.wait_first),
      first_(times.first) {
    follow();
    again();
}
Watch::~Watch() = default;

void Watch::move(config::Endpoint at) {
    if (at == at_) return;
    at_ = std::move(at);
    revision_ = -1;
    doubted_.reset();
    wait_ = times_.wait_first;
    first_ = times_.first;
    follow();
}

// An older revision, or a list of nobody. Taken where the service says the same when it is asked
// for the whole.
bool Watch::doubtful(const platform::TargetList& list) {
    const bool odd = list.revision < revision_ || (list.whole && list.targets.empty());
    const bool again = list.whole && doubted_ == list.revision;
    doubted_.reset();
    if (!odd || again) return false;
    doubted_ = list.revision;
    return whole_ = true;
}

void Watch::follow() {
    ++turn_;
    if (now_) {
        now_->close();
        old_ = std::move(now_);  // it may be in the middle of a call
    }
    int error = 0;
    event::Fd fd = event::connect_to(at_.ip, at_.port, at_.v6, error);
    if (!fd) return lost(std::strerror(error), false);
    now_ = std::make_unique<Following>(*this, std::move(fd));
}

// One that has told for a while is followed by the next at once; else the waits grow, so that a
// service that ends each watch is not called without a pause.
void Watch::lost(const std::string& why, bool lived) {
    if (!std::exchange(told_, true)) hooks_.lost(at_.text() + ": " + why);
    const Micros wait = lived ? Micros(0) : wait_;
    wait_ = lived ? times_.wait_first : std::min(wait_ * 2, times_.wait_most);
    loop_.after(wait, [this, turn = ++turn_, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && turn == turn_) follow();
    });
}

// A service that says nothing for long has gone, whatever the connection looks like.
void Watch::again() {
    loop_.after(times_.look, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        old_.reset();
        if (now_ && now_->silent(loop_.now())) {
            const bool lived = now_->lived(loop_.now());
            // A slow service may need longer; one that is gone costs no more than a call in that
            // time.
            if (!now_->spoke()) first_ = std::min(first_ * 2, times_.first_most);
            now_->close();
            old_ = std::move(now_);
            lost("silence", lived);
        }
        again();
    });
}

}  // namespace silverreach::discovery

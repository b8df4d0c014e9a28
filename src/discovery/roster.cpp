#include "discovery/roster.h"

#include <fmt/format.h>
#include <sys/time.h>

#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace silverreach::discovery {
namespace {
using namespace std::chrono_literals;
constexpr Micros file_period = 200ms, answer_due = 2s;
constexpr std::size_t most_bytes = 16 * 1024 * 1024;

std::int64_t unix_ms() {
    timeval t{};
    gettimeofday(&t, nullptr);
    return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_usec / 1000;
}
}  // namespace

// Asks over one kept connection; a broken one is opened again at the next period.
class Roster::Asker : public event::StreamOwner, public http::Parser::Events {
  public:
    explicit Asker(Roster& roster)
        : roster_(roster),
          endpoint_(*config::parse_endpoint(roster.config_.hosts().discovery())),
          parser_(http::Parser::Kind::response, *this) {
        tick();
    }
    void on_data(std::string_view bytes) override {
        parser_.feed(bytes);
        if (parser_.done() && waiting_) answered();
    }
    void on_end() override { lost("the connection ended"); }
    void on_broken(int error) override { lost(std::strerror(error)); }
    bool on_head(http::Head& head) override {
        status_ = head.status, keep_ = head.keep_alive;
        return true;
    }
    void on_body(std::string_view bytes) override {
        if (body_.size() + bytes.size() <= most_bytes) body_.append(bytes);
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault& fault) override { lost(std::string(fault.why)); }

  private:
    void tick() {
        if (waiting_ && roster_.loop_.now() - asked_ >= answer_due) lost("no answer");
        if (!waiting_) ask();
        roster_.loop_.after(std::chrono::milliseconds(roster_.config_.hosts().discovery_ms()),
                            [this, alive = std::weak_ptr<bool>(alive_)] {
                                if (!alive.expired()) tick();
                            });
    }
    void ask() {
        old_.reset();
        if (!stream_ || stream_->closed()) {
            int error = 0;
            event::Fd fd = event::connect_to(endpoint_.ip, endpoint_.port, endpoint_.v6, error);
            if (!fd) return lost(std::strerror(error));
            stream_ = std::make_unique<event::Stream>(roster_.loop_, std::move(fd), *this, true);
        }
        const config::Config& c = roster_.config_;
        const nlohmann::json body = {
            {"versionInfo", roster_.version_},
            {"node",
             {{"id", fmt::format("silverreach-{}", c.peers().rank())},
              {"cluster", c.fleet()},
              {"locality", {{"zone", c.zone()}}}}},
            {"resourceNames", {c.hosts().cluster()}},
            {"typeUrl", "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"}};
        const std::string text = body.dump();
        parser_.next();
        body_.clear();
        waiting_ = true, asked_ = roster_.loop_.now();
        stream_->write(
            fmt::format("POST /v3/discovery:endpoints HTTP/1.1\r\nHost: {}\r\nContent-Type: "
                        "application/json\r\nContent-Length: {}\r\n\r\n",
                        endpoint_.text(), text.size()) +
            text);
    }
    void answered() {
        waiting_ = false;
        if (!keep_) stream_->close();
        if (status_ != 200 && status_ != 304) return lost(fmt::format("status {}", status_));
        told_ = false;
        if (status_ == 200) roster_.take(body_, "discovery " + endpoint_.text());
    }
    void lost(const std::string& why) {
        waiting_ = false;
        if (stream_) {
            stream_->close();
            old_ = std::move(stream_);  // it may be in the middle of a call
        }
        if (!std::exchange(told_, true)) roster_.hooks_.unreachable(endpoint_.text() + ": " + why);
    }

    Roster& roster_;
    config::Endpoint endpoint_;
    http::Parser parser_;
    std::unique_ptr<event::Stream> stream_, old_;
    std::string body_;
    int status_ = 0;
    Micros asked_{0};
    bool waiting_ = false, told_ = false, keep_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Roster::Roster(event::Loop& loop, const config::Config& config, const std::string& folder,
               Hooks hooks)
    : loop_(loop), config_(config), hooks_(std::move(hooks)) {
    if (config.hosts().has_discovery()) {
        asker_ = std::make_unique<Asker>(*this);
        return;
    }
    const std::string& name = config.hosts().file();
    file_ = name.starts_with('/') ? name : folder + "/" + name;
    watch_ = std::make_unique<event::FileWatch>(loop, file_, file_period, [this] { read_file(); });
    read_file();
}
Roster::~Roster() = default;

void Roster::read_file() {
    std::ifstream in(file_, std::ios::binary);
    if (!in) return hooks_.unreachable(file_ + ": cannot be read; the last list stays");
    std::ostringstream text;
    text << in.rdbuf();
    take(text.str(), file_);
}

void Roster::take(std::string_view text, const std::string& source) {
    if (text == last_text_) return;
    last_text_ = text;
    HostList list;
    std::vector<openapi::Problem> problems;
    if (!parse_endpoints(text, source, config_.hosts().cluster(), list, problems))
        return hooks_.bad(problems);
    version_ = list.version;
    std::vector<EndpointEntry> entries;
    const std::int64_t wall = unix_ms();
    for (Listed& host : list.hosts) {
        host.entry.started_at =
            starts_.place(host.entry.id, host.started_unix_ms, loop_.now(), wall);
        entries.push_back(std::move(host.entry));
    }
    starts_.keep_only(entries);
    hooks_.changed(std::move(entries));
}

}  // namespace silverreach::discovery

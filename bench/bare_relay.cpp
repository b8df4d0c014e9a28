#include "bare_relay.h"

namespace silverreach::bench {
namespace front = frontend::http;

struct BareRelay::Connection : event::StreamOwner, http::Parser::Events {
    BareRelay& relay;
    event::Stream stream;
    http::Parser parser;
    http::Head head;
    std::string body;
    front::ClientCapabilities client;
    event::SystemRandom random;
    front::RequestIdentity identity;
    front::Framing framing = front::Framing::none;
    Connection(BareRelay& r, event::Fd fd)
        : relay(r),
          stream(r.loop_, std::move(fd), *this),
          parser(http::Parser::Kind::request, *this) {}
    void on_data(std::string_view bytes) override {
        parser.feed(bytes);
        if (!parser.done()) return;
        identity = front::identify_request(head, random);
        client = {head.minor_version, head.method == "HEAD", head.keep_alive, false, {}};
        auto out = std::make_shared<upstream_http::UpstreamRequest>();
        out->head = front::request_head_for_host(head, head.target, identity, "127.0.0.1", "relay",
                                                 body.size());
        out->body = std::move(body);
        const RequestId id = relay.next_++;
        relay.by_id_[id] = this;
        relay.upstream_->send({id, 0}, relay.hosts_[id % relay.hosts_.size()], std::move(out));
    }
    void on_end() override { stream.close(); }
    void on_error(int) override {}
    bool on_head(http::Head& h) override { return head = std::move(h), body.clear(), true; }
    void on_body(std::string_view b) override { body.append(b); }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override { stream.close(); }
};

BareRelay::BareRelay(event::Loop& loop, const config::Config& config,
                     std::vector<std::string> hosts)
    : loop_(loop),
      hosts_(std::move(hosts)),
      upstream_(std::make_unique<upstream_http::Upstream>(
          loop, config, static_cast<upstream_http::AttemptCallbacks&>(*this))) {
    listener_ = std::make_unique<event::Listener>(
        loop, "127.0.0.1", 0, false, [] { return true; },
        [this](event::Fd fd, std::string) {
            auto c = std::make_unique<Connection>(*this, std::move(fd));
            Connection* key = c.get();
            connections_.emplace(key, std::move(c));
        });
}
BareRelay::~BareRelay() = default;

bool BareRelay::on_response_started(const core::AttemptKey& key, const std::string&, Micros,
                                    const LoadReport&, http::Head& head) {
    Connection& c = *by_id_.at(key.request);
    c.stream.write(
        front::response_head_for_client(head, c.client, c.identity.request_id, "relay", c.framing));
    return true;
}
void BareRelay::on_response_body(const core::AttemptKey& key, std::string_view bytes) {
    by_id_.at(key.request)->stream.write(bytes);
}
void BareRelay::on_response_ended(const core::AttemptKey& key, bool, const http::Fields&) {
    Connection& c = *by_id_.at(key.request);
    by_id_.erase(key.request);
    c.parser.reset();
}
void BareRelay::on_attempt_ended(const core::AttemptKey& key, const std::string&, Outcome, Micros,
                                 const LoadReport&, int) {
    by_id_.at(key.request)->stream.close();
    by_id_.erase(key.request);
}

}  // namespace silverreach::bench

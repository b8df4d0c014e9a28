#include "bare_relay.h"

namespace silverreach::bench {
namespace front = frontend::http;

struct BareRelay::Connection : event::StreamOwner, http::Parser::Events {
    BareRelay& relay;
    event::Stream stream;
    http::Parser parser;
    http::Head head;
    std::string body;
    front::ClientCapabilities capabilities;
    event::SystemRandom random;
    front::RequestIdentity identity;
    front::Framing framing = front::Framing::none;
    Connection(BareRelay& parent, event::Fd fd)
        : relay(parent),
          stream(parent.loop_, std::move(fd), *this),
          parser(http::Parser::Kind::request, *this) {}
    void on_data(std::string_view bytes) override {
        parser.feed(bytes);
        if (!parser.done()) return;
        identity = front::identify_request(head, random);
        capabilities = {head.minor_version, head.method == "HEAD", head.keep_alive, false, {}};
        auto request = std::make_shared<upstream_http::UpstreamRequest>();
        request->head = front::request_head_for_host(head, head.target, identity, "127.0.0.1",
                                                     "relay", body.size());
        request->body = std::move(body);
        const RequestId id = relay.next_request_id_++;
        relay.connections_by_request_[id] = this;
        relay.upstream_->send({id, 0}, relay.hosts_[id % relay.hosts_.size()], std::move(request));
    }
    void on_end() override { stream.close(); }
    void on_error(int) override {}
    bool on_head(http::Head& received) override {
        return head = std::move(received), body.clear(), true;
    }
    void on_body(std::string_view bytes) override { body.append(bytes); }
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
            auto connection = std::make_unique<Connection>(*this, std::move(fd));
            Connection* key = connection.get();
            connections_.emplace(key, std::move(connection));
        });
}
BareRelay::~BareRelay() = default;

bool BareRelay::on_response_started(const core::AttemptKey& key, const std::string&, Micros,
                                    const LoadReport&, http::Head& head) {
    Connection& connection = *connections_by_request_.at(key.request);
    connection.stream.write(front::response_head_for_client(head, connection.capabilities,
                                                            connection.identity.request_id, "relay",
                                                            connection.framing));
    return true;
}
void BareRelay::on_response_body(const core::AttemptKey& key, std::string_view bytes) {
    connections_by_request_.at(key.request)->stream.write(bytes);
}
void BareRelay::on_response_ended(const core::AttemptKey& key, bool, const http::Fields&) {
    Connection& connection = *connections_by_request_.at(key.request);
    connections_by_request_.erase(key.request);
    connection.parser.reset();
}
void BareRelay::on_attempt_ended(const core::AttemptKey& key, const std::string&, Outcome, Micros,
                                 const LoadReport&, int) {
    connections_by_request_.at(key.request)->stream.close();
    connections_by_request_.erase(key.request);
}

}  // namespace silverreach::bench

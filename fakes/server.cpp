#include "fakes/server.h"

namespace silverreach::fakes {

struct Server::Connection : event::StreamOwner, http::Parser::Events {
    Connection(Server& parent, Token own_token, event::Fd fd)
        : server(parent),
          token(own_token),
          stream(parent.loop_, std::move(fd), *this),
          parser(http::Parser::Kind::request, *this) {}
    void on_data(std::string_view bytes) override {
        pending.append(bytes);
        read_request();
    }
    void read_request() {
        if (is_request_pending || pending.empty() || stream.closed()) return;
        const std::string bytes = std::exchange(pending, {});
        pending = bytes.substr(parser.feed(bytes));
        if (!parser.done() || is_request_pending) return;
        is_request_pending = true;
        server.handler_(token, head, body);
    }
    void on_end() override { close(); }
    void on_error(int) override { close(); }
    bool on_head(http::Head& received) override {
        head = std::move(received), body.clear();
        return true;
    }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override { close(); }
    void close() {
        stream.close();
        server.delete_later(token);
    }

    Server& server;
    Token token;
    event::Stream stream;
    http::Parser parser;
    http::Head head;
    std::string body, pending;
    bool is_request_pending = false;
};

Server::Server(event::Loop& loop, const std::string& ip, int port, Handler handler)
    : loop_(loop), handler_(std::move(handler)), deferred_deletion_(loop) {
    listener_ = std::make_unique<event::Listener>(
        loop, ip, port, ip.find(':') != std::string::npos, [] { return true; },
        [this](event::Fd fd, const std::string&) {
            const Token token = next_token_++;
            connections_.emplace(token, std::make_unique<Connection>(*this, token, std::move(fd)));
        });
}
Server::~Server() {
    alive_.reset();
}

bool Server::respond(Token token, const std::string& bytes, bool close) {
    const auto it = connections_.find(token);
    if (it == connections_.end()) return false;
    Connection& connection = *it->second;
    connection.stream.write(bytes);
    connection.is_request_pending = false;
    if (close) {
        connection.stream.end();
        return true;
    }
    connection.parser.reset();
    loop_.after(std::chrono::microseconds(0), [this, token, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        if (const auto found = connections_.find(token); found != connections_.end())
            found->second->read_request();
    });
    return true;
}
void Server::reset_all() {
    for (auto& [token, connection] : connections_)
        connection->stream.reset();
    while (!connections_.empty())
        delete_later(connections_.begin()->first);
}
void Server::delete_later(Token token) {
    const auto it = connections_.find(token);
    if (it == connections_.end()) return;
    deferred_deletion_.schedule(std::move(it->second));
    connections_.erase(it);
}

}  // namespace silverreach::fakes

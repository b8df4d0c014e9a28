#include "fakes/server.h"

namespace silverreach::fakes {

struct Server::Connection : event::StreamOwner, http::Parser::Events {
    Connection(Server& s, Token t, event::Fd fd)
        : server(s),
          token(t),
          stream(s.loop_, std::move(fd), *this),
          parser(http::Parser::Kind::request, *this) {}
    void on_data(std::string_view bytes) override {
        pending.append(bytes);
        next();
    }
    void next() {
        if (busy || pending.empty() || stream.closed()) return;
        const std::string now = std::exchange(pending, {});
        pending = now.substr(parser.feed(now));
        if (!parser.done() || busy) return;
        busy = true;
        server.handler_(token, head, body);
    }
    void on_end() override { over(); }
    void on_error(int) override { over(); }
    bool on_head(http::Head& h) override {
        head = std::move(h), body.clear();
        return true;
    }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override { over(); }
    void over() {
        stream.close();
        server.delete_later(token);
    }

    Server& server;
    Token token;
    event::Stream stream;
    http::Parser parser;
    http::Head head;
    std::string body, pending;
    bool busy = false;
};

Server::Server(event::Loop& loop, const std::string& ip, int port, Handler handler)
    : loop_(loop), handler_(std::move(handler)), deferred_deletion_(loop) {
    listener_ = std::make_unique<event::Listener>(
        loop, ip, port, ip.find(':') != std::string::npos, [] { return true; },
        [this](event::Fd fd, const std::string&) {
            const Token token = next_++;
            connections_.emplace(token, std::make_unique<Connection>(*this, token, std::move(fd)));
        });
}
Server::~Server() {
    alive_.reset();
}

bool Server::answer(Token token, const std::string& bytes, bool close) {
    const auto it = connections_.find(token);
    if (it == connections_.end()) return false;
    Connection& c = *it->second;
    c.stream.write(bytes);
    c.busy = false;
    if (close) {
        c.stream.end();
        return true;
    }
    c.parser.reset();
    loop_.after(std::chrono::microseconds(0), [this, token, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        if (const auto again = connections_.find(token); again != connections_.end())
            again->second->next();
    });
    return true;
}
void Server::reset_all() {
    for (auto& [token, c] : connections_)
        c->stream.reset();
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

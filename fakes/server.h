// An HTTP/1.1 server for the fakes: accepts connections, reads one complete request after another
// and writes responses.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/deferred_deletion.h"
#include "event/listener.h"
#include "event/stream.h"
#include "http/parser.h"

namespace silverreach::fakes {

class Server {
  public:
    using Token = std::uint64_t;  // identifies a connection
    using Handler = std::function<void(Token, const http::Head&, const std::string& body)>;

    Server(event::Loop& loop, const std::string& ip, int port, Handler handler);
    ~Server();
    int port() const { return listener_ ? listener_->port() : 0; }
    // Writes the response's bytes. Returns false, and drops them, if the connection is closed.
    bool respond(Token token, const std::string& bytes, bool close);
    void reset_all();  // resets every connection
    std::size_t connections() const { return connections_.size(); }

  private:
    struct Connection;
    void delete_later(Token token);
    event::Loop& loop_;
    Handler handler_;
    std::unordered_map<Token, std::unique_ptr<Connection>> connections_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    Token next_token_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<event::Listener> listener_;
};

}  // namespace silverreach::fakes

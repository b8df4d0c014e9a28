// The HTTP front: clients' connections, requests in and answers out. It hands each whole request to
// the core and writes what comes back; it decides on nothing but the form of a message.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "core/core.h"
#include "event/deferred_deletion.h"
#include "event/listener.h"
#include "event/stream.h"
#include "frontend/http/resolve.h"
#include "frontend/http/translate.h"
#include "upstream/http/upstream.h"

namespace silverreach::frontend::http {

// What a log line of one request says.
struct Record {
    std::string request_id, method, path, account, key_id, request_class, reason, client;
    double units = 0;
    int status = 0;  // 0: none was sent
    Micros took{0};
};

class Front {
  public:
    struct Hooks {
        std::function<std::shared_ptr<const openapi::Description>()>
            description;  // the one in force
        std::function<void(const Record&)> record;
        std::function<bool(const config::AccountRef&)>
            served_here;  // this instance is of the account's set
    };
    // All but `hooks` must outlive the front. Throws std::runtime_error where it cannot listen.
    Front(event::Loop& loop, const config::Config& config, config::AccountBook& accounts,
          core::Core& core, Hooks hooks);
    ~Front();

    int port() const;
    bool listening() const { return listener_->listening(); }
    void stop_listening();  // from now on connections end with the answers they are owed
    bool owes() const;  // an answer, or its last bytes, to any client; or has not read what came
    std::size_t connections() const;
    std::size_t in_hand() const { return by_id_.size(); }

    // Before an attempt goes out: sees to it that the client is still there.
    void look_for_client(RequestId id);
    // ---- what comes back for a request; an unknown id is passed over ----
    std::shared_ptr<const upstream_http::OutRequest> out_request(RequestId id) const;
    void finish(RequestId id, const core::FinalResponse& answer);
    void cut(RequestId id);
    // `pause` is called with true when the client is slow to take the answer, with false when it
    // goes on.
    void answer_begins(RequestId id, const std::string& host, wire::Head& head,
                       std::function<void(bool)> pause);
    void answer_body(RequestId id, std::string_view bytes);
    void answer_ended(RequestId id, bool whole, const wire::Fields& trailers);

  private:
    class Connection;
    Connection* find(RequestId id) const;
    const std::string& date();
    void accept(event::Fd fd, std::string client);
    void delete_later(Connection& connection);

    event::Loop& loop_;
    const config::Config& config_;
    int anonymous_plan_;
    core::Core& core_;
    Hooks hooks_;
    Resolver resolver_;
    std::string via_;
    event::SystemRandom random_;  // of request and trace ids
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::unordered_map<RequestId, Connection*> by_id_;
    std::string date_;
    std::time_t date_of_ = 0;
    bool closing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<event::Listener> listener_;
};

}  // namespace silverreach::frontend::http

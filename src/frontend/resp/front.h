// The platform's front: RESP2 clients over TCP. It takes commands, hands requests to the core and
// writes each connection's answers in the order of its commands. What a request means is judged by
// platform::Judge, what becomes of it by the core.
//
// Defences, each against one thing: silent and half-sent connections are closed in time; a broken
// frame gets one error line and the end; commands in hand, bytes kept and bytes not yet read by a
// client are bounded; a connection that keeps sending nonsense is read ever more slowly; when
// descriptors run short the silent and the idle go first.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "event/deferred_deletion.h"
#include "event/listener.h"
#include "event/stream.h"
#include "platform/request.h"

namespace silverreach::frontend::resp {

struct FrontLimits {
    std::size_t connections = 100;
    std::size_t lingering = 12;                // beyond these: ended here, not yet by their clients
    std::size_t kept_bytes = 4 * 1024 * 1024;  // of commands not whole yet, over all connections
};

// Why a client's connection ended.
enum class CloseReason {
    client_ended,    // by its client, or broken
    no_command,      // nothing whole was said in time
    idle,            // it rested too long
    evicted,         // its place was needed
    protocol_error,  // a broken or unfinished command
    draining,        // this instance ends
    answers_unread,  // the client does not take its answers
    linger_over,     // ended here, and its client did not end in time
    linger_flood,    // nor stopped sending
    linger_crowded   // too many such
};
constexpr std::size_t close_reason_count = 10;
std::string_view text_of(CloseReason reason);

// A connection that this instance ends, or has seen end. Told once for an end in good order, and
// once more where the connection is then closed for another reason.
struct ClientClose {
    CloseReason reason = CloseReason::client_ended;
    std::size_t requests_in_hand = 0;
    Micros open_for{0};
};

class Front {
  public:
    // `clock` gives the core's time. Throws std::runtime_error where the address cannot be listened
    // on.
    Front(event::Loop& loop, const config::Endpoint& listen, const platform::Judge& judge,
          FrontLimits limits, core::Core& core, std::function<Micros()> clock);
    ~Front();

    int port() const { return listener_->port(); }
    // The command of a request that is still in hand; else nothing.
    std::shared_ptr<const platform::OutCommand> out_command(RequestId id) const;
    void finish(RequestId id, const core::FinalResponse& answer);
    void answer(RequestId id, std::string_view value);  // a host's, whole

    bool listening() const { return listener_->listening(); }
    // Ends a connection that rests, for its descriptor; false where none does.
    bool give_up_idle();
    void on_shortage(std::function<bool()> give_up_idle) {
        listener_->on_shortage(std::move(give_up_idle));
    }
    void stop_listening();  // takes what has been accepted by the system already, then no more
    // From now on a connection goes once its last request is answered, and what still comes is
    // answered before `end` (of the loop's time). After that one goes as soon as it has no request
    // in hand.
    void close_when_idle(Micros end);
    // Before an attempt that comes later than its request: sees to it that the client is still
    // there.
    void look_for_client(RequestId id);
    std::size_t in_hand() const { return requests_.size(); }
    // Hears of every connection that ends, for the log.
    void on_close(std::function<void(const ClientClose&)> hook) { on_close_ = std::move(hook); }
    std::uint64_t client_id(RequestId id) const;  // as the client named the request; 0: not in hand

    struct Stats {
        std::size_t connections = 0;
        std::uint64_t accepted = 0, nonsense = 0, broken = 0, silent = 0, turned_away = 0;
        std::array<std::uint64_t, close_reason_count> closes{};  // by CloseReason
        std::uint64_t closed_in_hand =
            0;  // violations: ended by this instance with requests in hand
    };
    Stats stats() const;

  private:
    class Connection;
    struct Open {
        Connection* connection = nullptr;
        std::uint64_t place = 0;      // of the command among its connection's
        std::uint64_t client_id = 0;  // as the client named it
        Micros taken{0};
        std::shared_ptr<const platform::OutCommand> out;
    };
    bool room();
    Connection* longest_at_rest();
    void accepted(event::Fd fd);
    void over(RequestId id, std::string bytes);  // its answer, as it goes out
    void delete_later(Connection& connection);
    void closing(const ClientClose& close);
    void lingers(Connection& connection);
    Micros time_to_end() const { return closing_ ? end_ - loop_.now() : Micros::max(); }
    void sweep();

    event::Loop& loop_;
    const platform::Judge& judge_;
    FrontLimits limits_;
    core::Core& core_;
    std::function<Micros()> clock_;
    std::function<void(const ClientClose&)> on_close_;
    std::unordered_map<RequestId, Open> requests_;
    std::unordered_map<std::uint64_t, RequestId> by_client_id_;
    std::vector<std::unique_ptr<Connection>> connections_;
    event::DeferredDeletion<Connection> deferred_deletion_;
    std::size_t kept_bytes_ = 0;
    bool closing_ = false;
    Micros end_{0};
    std::size_t lingering_ = 0;  // of connections_
    Stats stats_;
    std::unique_ptr<event::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend::resp

// One client's connection: one request after another, answered in their order.
//
// States:  reading -> in hand -> answering -> reading ...   or, after an answer that ends it,
// lingering -> gone
#pragma once

#include "event/arrival_log.h"
#include "frontend/http/front.h"

namespace silverreach::frontend::http {

class Front::Connection : public event::StreamOwner, public wire::Parser::Events {
  public:
    Connection(Front& front, event::Fd fd, std::string client, Micros waiting_since);

    void finish(const core::FinalResponse& answer);
    void cut();
    void answer_begins(const std::string& host, wire::Head& head, std::function<void(bool)> pause);
    void answer_body(std::string_view bytes);
    void answer_ended(bool whole, const wire::Fields& trailers);
    std::shared_ptr<const upstream_http::OutRequest> out_request() const;
    void look_for_client();  // its end may stand behind bytes that were not read
    bool owes() const;       // an answer, its last bytes, or a look at what has come

    void on_data(std::string_view bytes) override;
    void on_end() override;
    void on_broken(int error) override;
    void on_drained() override;

    bool on_head(wire::Head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end(wire::Fields& trailers) override;
    void on_fault(const wire::Fault& fault) override;

  private:
    enum class State {
        reading,
        in_hand,
        answering,
        lingering,
        gone
    };
    void take();
    void advance();
    std::size_t feed(std::string_view bytes);
    void answer_myself(const OwnAnswer& answer, std::string_view reason);
    bool last_before_the_end() const;  // this instance ends, and nothing comes behind this request
    void message_over();
    void linger();
    void go();
    void leave_request();
    void watch_time();
    void note(int status, std::string_view reason);

    Front& front_;
    event::Stream stream_;
    wire::Parser parser_;
    std::string client_;
    State state_ = State::reading;
    std::string pending_;         // bytes of later requests
    event::ArrivalLog arrivals_;  // of what the parser has not taken
    Micros since_{0};             // the present wait began
    Micros progress_{0};          // the client last took something
    bool in_body_ = false, half_closed_ = false, whole_ = false;

    // of the request in hand; on the heap, so that an idle connection stays small
    struct Request {
        std::shared_ptr<const openapi::Description> description;  // the one it began under
        wire::Head head;
        Resolved resolved;
        Identity identity;
        std::string body;
        std::shared_ptr<upstream_http::OutRequest> out;
        ClientSide side;
        Micros begun{0};
        RequestId id = 0;
        Framing framing = Framing::none;
        std::function<void(bool)> pause;
        std::string host;
        int status = 0;
        bool paused = false, body_read = false;
    };
    std::unique_ptr<Request> request_;
    std::shared_ptr<bool> alive_ =
        std::make_shared<bool>(true);  // for timers that outlive the connection
};

}  // namespace silverreach::frontend::http

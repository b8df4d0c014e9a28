// Parses one HTTP/1.1 message after another from a stream of bytes, on http-parser. Heads are
// buffered until complete and checked by head.h first. No I/O.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>

#include "http/chunk_validator.h"
#include "http/head.h"

namespace silverreach::http {

struct Head {
    bool request = true;
    std::string method;  // of a request
    std::string target;  // of a request
    int status = 0;      // of a response
    int minor = 1;       // HTTP/1.x
    Fields fields;
    bool keep_alive = true;
    bool chunked = false;
    bool has_length = false;
    std::uint64_t length = 0;  // bytes, of Content-Length
    bool until_close = false;  // a response that ends with its connection
};

// States:   reading_head -> reading_message -> complete,   any -> failed;   next() begins again
class Parser {
  public:
    enum class Kind {
        request,
        response
    };
    // Called from within feed and finish, which the owner must not call from here.
    struct Events {
        virtual ~Events() = default;
        // A complete head, which may be moved from. Returns false to fail the parser (the owner has
        // answered the request).
        virtual bool on_head(Head& head) = 0;
        virtual void on_body(std::string_view bytes) = 0;
        virtual void on_message_end(Fields& trailers) = 0;
        virtual void on_fault(const Fault& fault) = 0;  // nothing further is read
    };
    // `events` must outlive the parser.
    Parser(Kind kind, Events& events, HeadLimits limits = {});

    // Reads bytes up to the end of one message and returns how many were consumed. An incomplete
    // head is buffered here. After a message's end call next() before feeding more.
    std::size_t feed(std::string_view bytes);
    // The stream has ended: completes a response that ends so; within any other message it is a
    // fault.
    void finish();
    void next();  // another message begins, in whatever state
    // The next response answers a HEAD request and has no body.
    void answer_to_head(bool yes) { to_head_ = yes; }

    // Between messages, without a byte of the next.
    bool idle() const { return state_ == State::reading_head && buffered_.empty(); }
    bool done() const { return state_ == State::complete; }

  private:
    enum class State {
        reading_head,
        reading_message,  // its head is complete
        complete,
        failed
    };
    static http_parser_settings callbacks();
    bool is_request() const { return kind_ == Kind::request; }
    int fault_status() const;
    int on_headers_complete();
    int on_message_complete();
    Fields& current_fields() { return in_trailers_ ? trailers_ : head_.fields; }
    std::size_t feed_head(std::string_view bytes);
    std::size_t feed_message(std::string_view bytes);
    void begin_message(std::string head);
    std::size_t execute(std::string_view bytes);
    void fail(const Fault& fault);

    http_parser parser_{};
    Events& events_;
    HeadLimits limits_;
    Kind kind_;
    State state_ = State::reading_head;
    std::string buffered_;  // the head so far
    Head head_;
    ChunkValidator chunks_;
    Fields trailers_;
    bool last_was_value_ = true;
    bool in_trailers_ = false;
    bool to_head_ = false;
    bool informational_ = false;  // a 1xx, which is passed over
};

}  // namespace silverreach::http

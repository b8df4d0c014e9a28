// Parses consecutive HTTP/1.1 messages from a byte stream with http-parser. Each head is buffered
// until it is complete and checked by head.h before http-parser reads it. No I/O.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>

#include "http/chunk_validator.h"
#include "http/head.h"

namespace silverreach::http {

struct Head {
    bool is_request = true;
    std::string method;     // of a request
    std::string target;     // of a request
    int status = 0;         // of a response
    int minor_version = 1;  // HTTP/1.x
    Fields fields;
    bool keep_alive = true;
    bool chunked = false;
    bool has_content_length = false;
    std::uint64_t content_length = 0;  // bytes, of Content-Length
    bool until_close = false;          // a response whose body ends with its connection
};

// States:   reading_head -> reading_message -> complete,   any -> failed
//           reset(): any -> reading_head
class Parser {
  public:
    enum class Kind {
        request,
        response
    };
    // Called from within feed and finish; the callbacks must not call these functions.
    struct Events {
        virtual ~Events() = default;
        // Receives a complete head, which may be moved from. Returns false to fail the parser (the
        // owner has answered the request).
        virtual bool on_head(Head& head) = 0;
        virtual void on_body(std::string_view bytes) = 0;
        virtual void on_message_end(Fields& trailers) = 0;
        virtual void on_fault(const Fault& fault) = 0;  // the parser reads nothing further
    };
    // `events` must outlive the parser.
    Parser(Kind kind, Events& events, HeadLimits limits = {});

    // Reads bytes up to the end of one message and returns how many were consumed. Buffers an
    // incomplete head. After the end of a message, reset() must be called before more is fed.
    std::size_t feed(std::string_view bytes);
    // Handles the end of the stream, which completes a response that ends with its connection and
    // is a fault within any other message.
    void finish();
    void reset();  // prepares for another message; may be called in any state
    // Sets whether the next response answers a HEAD request and therefore has no body.
    void set_response_to_head(bool is_response_to_head) {
        is_response_to_head_ = is_response_to_head;
    }

    // Whether the parser is between messages and has no byte of the next one.
    bool idle() const { return state_ == State::reading_head && head_buffer_.empty(); }
    bool done() const { return state_ == State::complete; }
    // Bytes of an incomplete head.
    std::size_t buffered_bytes() const { return head_buffer_.size(); }

  private:
    enum class State {
        reading_head,
        reading_message,  // the head is complete
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
    std::string head_buffer_;  // an incomplete head
    Head head_;
    ChunkValidator chunk_validator_;
    Fields trailers_;
    bool last_callback_was_value_ = true;
    bool in_trailers_ = false;
    bool is_response_to_head_ = false;
    bool is_informational_ = false;  // the message is a 1xx response, which is skipped
};

}  // namespace silverreach::http

// One HTTP/1.1 message after another from a stream of bytes, on http-parser. Heads are held back
// until whole and judged by head.h first. No I/O.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>

#include "http/chunks.h"
#include "http/head.h"

namespace silverreach::http {

struct Head {
    bool request = true;
    std::string method, target;  // of a request
    int status = 0;              // of an answer
    int minor = 1;               // HTTP/1.x
    Fields fields;
    bool keep_alive = true;
    bool chunked = false;
    bool has_length = false;
    std::uint64_t length = 0;
    bool until_close = false;  // an answer that ends with its connection
};

class Parser {
  public:
    enum class Kind {
        request,
        response
    };
    struct Events {
        virtual ~Events() = default;
        // A whole head. Returns false to stop the parser there (an error that the owner has
        // answered).
        virtual bool on_head(Head& head) = 0;
        virtual void on_body(std::string_view bytes) = 0;
        virtual void on_message_end(Fields& trailers) = 0;
        virtual void on_fault(const Fault& fault) = 0;  // nothing further is read
    };
    Parser(Kind kind, Events& events, HeadLimits limits = {});

    // Takes bytes up to the end of one message; returns how many were taken. Bytes of a head that
    // is not whole yet are kept here. After a message's end call next() before feeding more.
    std::size_t feed(std::string_view bytes);
    void finish();  // the stream ended: ends an answer that ends so, else a fault if a message is
                    // under way
    void next();    // ready for another message, whatever was before
    void answer_to_head(bool yes) { to_head_ = yes; }  // the next answer has no body

    bool idle() const {
        return !in_message_ && kept_.empty();
    }  // between messages, not a byte of the next
    bool done() const { return done_; }

  private:
    static http_parser_settings callbacks();
    int head_complete();
    void fault(const Fault& f);
    std::size_t execute(std::string_view bytes);

    http_parser parser_{};
    Events& events_;
    HeadLimits limits_;
    Kind kind_;
    std::string kept_;  // the head so far
    Head head_;
    ChunkGuard chunks_;
    Fields trailers_;
    bool last_was_value_ = true, in_message_ = false, in_trailers_ = false, done_ = false,
         dead_ = false;
    bool to_head_ = false, informational_ = false;
};

}  // namespace silverreach::http

// Writes a host's response to the client as it arrives.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "event/stream.h"
#include "frontend/http/message_translation.h"

namespace silverreach::frontend::http {

// Limits the bytes buffered for a slow client by pausing the host. Order of calls: start, then
// write_body and on_drained in any number, then finish.
class ResponseWriter {
  public:
    // Called with true when the client reads too slowly, with false once it has caught up.
    using PauseHost = std::function<void(bool)>;

    void start(event::Stream& stream, const std::string& head, Framing framing,
               PauseHost pause_host);
    void write_body(event::Stream& stream, std::string_view bytes);
    // Called when all written bytes have been sent.
    void on_drained();
    void finish(event::Stream& stream, const wire::Fields& trailers, bool accepts_trailers);

  private:
    Framing framing_ = Framing::none;
    PauseHost pause_host_;
    bool paused_ = false;
};

}  // namespace silverreach::frontend::http

#include "frontend/http/response_writer.h"

#include <fmt/format.h>

#include <utility>

namespace silverreach::frontend::http {
namespace {
constexpr std::size_t max_unread_bytes = std::size_t{256} * 1024;
}

void ResponseWriter::start(event::Stream& stream, const std::string& head, Framing framing,
                           PauseHost pause_host) {
    framing_ = framing;
    pause_host_ = std::move(pause_host);
    stream.write(head);
}

void ResponseWriter::write_body(event::Stream& stream, std::string_view bytes) {
    if (bytes.empty() || framing_ == Framing::none) return;
    if (framing_ == Framing::chunked)
        stream.write({fmt::format("{:x}\r\n", bytes.size()), bytes, "\r\n"});
    else
        stream.write(bytes);
    if (stream.queued_bytes() <= max_unread_bytes || paused_) return;
    paused_ = true;
    pause_host_(true);
}

void ResponseWriter::on_drained() {
    if (!paused_) return;
    paused_ = false;
    pause_host_(false);
}

void ResponseWriter::finish(event::Stream& stream, const wire::Fields& trailers,
                            bool accepts_trailers) {
    if (framing_ == Framing::chunked) stream.write(last_chunk(trailers, accepts_trailers));
}

}  // namespace silverreach::frontend::http

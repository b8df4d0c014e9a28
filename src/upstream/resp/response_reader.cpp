#include "upstream/resp/response_reader.h"

namespace silverreach::upstream_resp {
namespace {
constexpr std::size_t kibibyte = 1024;
// Hosts send values beyond the 64 KiB of the platform's protocol.
constexpr resp::Limits reply_limits{
    .items = 8, .bulk = 1024 * kibibyte, .total = 1028 * kibibyte, .line = 256};
constexpr std::size_t max_retained_capacity = 4 * kibibyte;  // of the buffer between replies
}  // namespace

ResponseReader::ResponseReader(std::size_t& total_buffered)
    : parser_(reply_limits), total_buffered_(total_buffered) {}

resp::Got ResponseReader::append(std::string_view bytes) {
    buffer_.append(bytes);
    total_buffered_ += bytes.size();
    return parser_.look(buffer_);
}

void ResponseReader::reset() {
    total_buffered_ -= buffer_.size();
    buffer_.clear();
    if (buffer_.capacity() > max_retained_capacity) buffer_.shrink_to_fit();
    parser_.next();
}

}  // namespace silverreach::upstream_resp

#include "frontend/resp/response_queue.h"

#include <utility>

namespace silverreach::frontend::resp {

std::uint64_t ResponseQueue::add_pending(RequestId request, std::size_t command_bytes) {
    entries_.push_back({request, {}, command_bytes});
    held_bytes_ += command_bytes;
    return first_number_ + entries_.size() - 1;
}

void ResponseQueue::add_ready(std::string response) {
    held_bytes_ += response.size();
    entries_.push_back({0, std::move(response), 0});
}

bool ResponseQueue::complete(std::uint64_t number, std::string response) {
    if (number < first_number_ || number - first_number_ >= entries_.size()) return false;
    Entry& entry = entries_[number - first_number_];
    held_bytes_ += response.size();
    held_bytes_ -= std::exchange(entry.command_bytes, 0);
    entry.request = 0;
    entry.response = std::move(response);
    return true;
}

std::string ResponseQueue::take_ready() {
    std::string out;
    while (!entries_.empty() && entries_.front().request == 0) {
        held_bytes_ -= entries_.front().response.size();
        if (out.empty())
            out = std::move(entries_.front().response);
        else
            out += entries_.front().response;
        entries_.pop_front();
        ++first_number_;
    }
    return out;
}

std::vector<RequestId> ResponseQueue::pending() const {
    std::vector<RequestId> requests;
    for (const Entry& entry : entries_)
        if (entry.request != 0) requests.push_back(entry.request);
    return requests;
}

}  // namespace silverreach::frontend::resp

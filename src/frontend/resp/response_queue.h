// The responses of one connection, which are sent in the order of its commands.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::frontend::resp {

// Each command has an entry, pending or ready, until its response is taken. An entry is identified
// by the number of its command on the connection, counted from 0.
class ResponseQueue {
  public:
    // Adds an entry for a request that is in flight and returns its number.
    // `command_bytes`: held until the response is set.
    std::uint64_t add_pending(RequestId request, std::size_t command_bytes);
    void add_ready(std::string response);
    // Sets the response of a pending entry. An unknown number is ignored and returns false.
    bool complete(std::uint64_t number, std::string response);
    // Removes the ready entries at the front and returns their concatenated responses.
    std::string take_ready();

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    std::vector<RequestId> pending() const;
    // Bytes of the commands of pending entries and of the responses of ready ones.
    std::size_t held_bytes() const { return held_bytes_; }

  private:
    struct Entry {
        RequestId request = 0;  // in flight; 0: the response is ready
        std::string response;
        std::size_t command_bytes = 0;
    };
    std::deque<Entry> entries_;
    std::uint64_t first_number_ = 0;
    std::size_t held_bytes_ = 0;
};

}  // namespace silverreach::frontend::resp

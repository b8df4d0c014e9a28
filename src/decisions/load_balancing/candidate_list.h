// The endpoints from which the endpoint of an attempt is chosen: at most two, the better one first.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace silverreach {

struct Endpoint;

class CandidateList {
  public:
    static constexpr std::size_t capacity = 2;

    CandidateList() = default;
    // Skips null pointers.
    CandidateList(Endpoint* best, Endpoint* second) {
        for (Endpoint* endpoint : {best, second})
            if (endpoint) endpoints_[size_++] = endpoint;
    }

    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    Endpoint& front() const { return *endpoints_.front(); }
    bool contains(const Endpoint& endpoint) const {
        return std::find(begin(), end(), &endpoint) != end();
    }
    void clear() { size_ = 0; }

    Endpoint* const* begin() const { return endpoints_.data(); }
    Endpoint* const* end() const { return endpoints_.data() + size_; }

  private:
    std::array<Endpoint*, capacity> endpoints_{};
    std::size_t size_ = 0;
};

}  // namespace silverreach

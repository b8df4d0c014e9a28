// Maps attempts to the connections that carry them. Used on the loop's thread; owns no connection.
#pragma once

#include <unordered_map>

#include "core/attempt_key.h"

namespace silverreach::upstream {

// The key of health checks, the exchanges that belong to no attempt.
inline constexpr core::AttemptKey health_check_key{0, -1};

template <class Connection>
class AttemptTable {
  public:
    void insert(const core::AttemptKey& key, Connection& connection) {
        connections_[key] = &connection;
    }
    void erase(const core::AttemptKey& key) { connections_.erase(key); }
    // Returns null for an attempt that has ended or was never sent.
    Connection* find(const core::AttemptKey& key) const {
        const auto it = connections_.find(key);
        return it == connections_.end() ? nullptr : it->second;
    }

  private:
    std::unordered_map<core::AttemptKey, Connection*, core::AttemptKeyHash> connections_;
};

}  // namespace silverreach::upstream

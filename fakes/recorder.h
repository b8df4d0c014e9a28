// What passed on the stand-ins' sockets, as JSON lines: {"t": microseconds, "who": ..., "what":
// ..., ...}.
#pragma once

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace silverreach::fakes {

using Micros = std::chrono::microseconds;

class Recorder {
  public:
    Recorder() = default;                        // in memory only
    explicit Recorder(const std::string& file);  // and to the file, line by line
    void add(Micros at, const char* who, const char* what, nlohmann::json fields);
    const std::vector<nlohmann::json>& all() const { return all_; }

  private:
    std::ofstream file_;
    std::vector<nlohmann::json> all_;
};

}  // namespace silverreach::fakes

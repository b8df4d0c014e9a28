// Records what the fakes send and receive, as JSON lines: {"t": microseconds, "who": ..., "what":
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
    Recorder() = default;  // in memory only
    // Also writes each record to the file. Throws std::runtime_error if it cannot be opened.
    explicit Recorder(const std::string& file);
    void add(Micros at, const char* who, const char* what, nlohmann::json fields);
    const std::vector<nlohmann::json>& all() const { return records_; }

  private:
    std::ofstream file_;
    std::vector<nlohmann::json> records_;
};

}  // namespace silverreach::fakes

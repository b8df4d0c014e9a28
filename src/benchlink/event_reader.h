// Reads the engine's events and endpoint lists from messages of the wire protocol. Each function
// throws settings_json::ValueError if a value is missing or malformed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "silverreach/interface.h"
#include "wire_message.h"

namespace silverreach::benchlink {

// Maps the names of classes and plans in wire messages to their indexes in events.
class SettingsNameIndex {
  public:
    explicit SettingsNameIndex(const Settings& settings);
    std::optional<int> find_class(std::string_view name) const;
    std::optional<int> find_plan(std::string_view name) const;

  private:
    std::unordered_map<std::string, int> class_indexes_;
    std::unordered_map<std::string, int> plan_indexes_;
};

std::vector<EndpointEntry> read_endpoint_list(const WireValues& values);
RequestArrived read_request_arrived(const WireValues& values, const SettingsNameIndex& index);
AttemptEnded read_attempt_ended(const WireValues& values);
HealthCheckEnded read_health_check_ended(const WireValues& values);
ClientDisconnected read_client_disconnected(const WireValues& values);
PeerMessageReceived read_peer_message(const WireValues& values);
// Returns nullopt if the token is not a decimal number, as the tokens of the engine are.
std::optional<TimerFired> read_timer_fired(const WireValues& values);

}  // namespace silverreach::benchlink

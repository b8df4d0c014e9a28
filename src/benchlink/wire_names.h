// Maps the names of the simulator's wire protocol to the terms of the code. A message is a JSON
// array of its name and its values; the positions of the values are numbered from 0.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "silverreach/interface.h"

namespace silverreach::benchlink {

struct WireField {
    std::size_t position;
    std::string_view name;  // for error messages
};

// Incoming messages that are not events of the engine.
namespace batch_begin {
inline constexpr std::string_view message = "Turn";
inline constexpr WireField clock{0, "clock"};
}  // namespace batch_begin
namespace batch_end {
inline constexpr std::string_view message = "EofBatch";
}
namespace start_instance {
inline constexpr std::string_view message = "Attach";
inline constexpr WireField seed{1, "rngSeed"};
inline constexpr WireField settings{2, "config"};
}  // namespace start_instance
namespace stop_instance {
inline constexpr std::string_view message = "Destroy";
}
namespace endpoint_list {
inline constexpr std::string_view message = "Directory";
inline constexpr WireField slot{0, "slot"};
inline constexpr WireField entries{1, "records"};
}  // namespace endpoint_list

// First value of every message that concerns one instance.
inline constexpr WireField instance_number_field{0, "gatewayId"};

// One entry of an endpoint list.
namespace endpoint_entry {
inline constexpr std::string_view name = "records[]";
inline constexpr WireField id{0, "host"};
inline constexpr WireField zone{1, "failureDomain"};
inline constexpr WireField kind{2, "hw"};
inline constexpr WireField cell{3, "pack"};
inline constexpr WireField status{4, "health"};
inline constexpr WireField weight{5, "weight"};
inline constexpr WireField started_at{6, "bootTimeUs"};
}  // namespace endpoint_entry

// Incoming messages that are events of the engine.
namespace endpoints_changed {
inline constexpr std::string_view message = "Sync";
inline constexpr WireField kind{1, "kind"};
inline constexpr WireField slot{3, "slot"};
inline constexpr std::string_view kind_unavailable = "unavailable";
inline constexpr std::string_view kind_update = "update";
}  // namespace endpoints_changed
namespace request_arrived {
inline constexpr std::string_view message = "NewRequest";
inline constexpr WireField request_id{1, "xid"};
inline constexpr WireField subset_size{2, "nEntries"};
inline constexpr WireField subset_start{3, "setStart"};
inline constexpr WireField time_remaining{4, "timeLeftUs"};
inline constexpr WireField customer{5, "apiKey"};
inline constexpr WireField plan{7, "contract"};
inline constexpr WireField request_class{8, "category"};
inline constexpr WireField units{9, "sizeUnits"};
}  // namespace request_arrived
namespace attempt_ended {
inline constexpr std::string_view message = "Returned";
inline constexpr WireField request_id{1, "xid"};
inline constexpr WireField attempt{2, "sendNo"};
inline constexpr WireField endpoint{3, "host"};
inline constexpr WireField outcome{4, "status"};
inline constexpr WireField duration{5, "timeTakenUs"};
inline constexpr WireField request_completed{6, "settled"};
inline constexpr WireField actual_units{8, "actual"};
inline constexpr WireField load_report{9, "feedback"};
}  // namespace attempt_ended
namespace health_check_ended {
inline constexpr std::string_view message = "PingResult";
inline constexpr WireField endpoint{1, "host"};
inline constexpr WireField outcome{2, "status"};
inline constexpr WireField duration{3, "timeTakenUs"};
inline constexpr WireField load_report{4, "feedback"};
}  // namespace health_check_ended
namespace client_disconnected {
inline constexpr std::string_view message = "Gone";
inline constexpr WireField request_id{1, "xid"};
}  // namespace client_disconnected
namespace peer_message_received {
inline constexpr std::string_view message = "PeerData";
inline constexpr WireField from{1, "neighbour"};
inline constexpr WireField bytes{2, "bytes"};
}  // namespace peer_message_received
namespace timer_fired {
inline constexpr std::string_view message = "Timer";
inline constexpr WireField token{1, "label"};
}  // namespace timer_fired

// Keys of a load report.
namespace load_report {
inline constexpr std::string_view queued_requests = "backlog";
inline constexpr std::string_view in_flight_requests = "outstanding";
inline constexpr std::string_view utilization = "utilization";
}  // namespace load_report

// Outgoing messages.
namespace wire_action {
inline constexpr std::string_view send_attempt = "Send";
inline constexpr std::string_view reject_request = "Bounce";
inline constexpr std::string_view fail_request = "DropRequest";
inline constexpr std::string_view cancel_attempt = "Retract";
inline constexpr std::string_view start_health_check = "Test";
inline constexpr std::string_view set_timer = "WakeAt";
inline constexpr std::string_view send_peer_message = "WritePeer";
inline constexpr std::string_view every_peer = "*";
inline constexpr std::string_view end_of_reply = "End";
}  // namespace wire_action

template <class T, std::size_t size>
using WireValueTable = std::array<std::pair<std::string_view, T>, size>;

inline constexpr WireValueTable<Outcome, 8> outcome_names{{{"GOOD", Outcome::success},
                                                           {"BAD", Outcome::error},
                                                           {"FULL", Outcome::rejected},
                                                           {"LATE", Outcome::timeout},
                                                           {"NOCONN", Outcome::connect_failed},
                                                           {"RST", Outcome::reset},
                                                           {"CXL", Outcome::cancelled},
                                                           {"NOP", Outcome::not_started}}};
inline constexpr WireValueTable<EndpointStatus, 3> endpoint_status_names{
    {{"U", EndpointStatus::available},
     {"L", EndpointStatus::draining},
     {"D", EndpointStatus::removed}}};

// Returns nullopt if the table does not contain the name.
template <class T, std::size_t size>
constexpr std::optional<T> find_wire_value(const WireValueTable<T, size>& table,
                                           std::string_view name) {
    for (const auto& [wire_name, value] : table)
        if (wire_name == name) return value;
    return std::nullopt;
}

}  // namespace silverreach::benchlink

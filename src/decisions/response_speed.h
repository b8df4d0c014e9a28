// Classifies response times relative to the latency objective.
#pragma once

#include "decisions/decaying_counter.h"
#include "decisions/request_state.h"
#include "silverreach/interface.h"

namespace silverreach {

inline constexpr double fast_response_ratio = 0.25;  // of the latency objective
inline constexpr double slow_response_ratio = 0.5;   // of the latency objective

// While the mean response time is fast, rejections and timeouts are attributed to one kind of
// request and not to overload.
inline bool is_fast(double response_s, double latency_objective_s) {
    return response_s <= fast_response_ratio * latency_objective_s;
}

inline bool is_slow(double response_s, double latency_objective_s) {
    return response_s > slow_response_ratio * latency_objective_s;
}

// Latency objective of the first request class, in seconds; 1 s if there are no classes.
inline double default_latency_objective_s(const Settings& settings) {
    return settings.classes.empty() ? 1 : seconds(settings.classes.front().latency_objective);
}
inline double latency_objective_s(const Settings& settings, const RequestState& request) {
    return seconds(settings.classes[request.arrival.request_class].latency_objective);
}

}  // namespace silverreach

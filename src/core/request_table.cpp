#include "core/request_table.h"

#include <algorithm>

namespace silverreach::core {

void Request::start_streaming(int attempt) {
    state = RequestState::streaming;
    streaming_attempt = attempt;
    record.answered = true;
}

void Request::complete_with_gateway_response() {
    state = RequestState::completed;
    record.answered = true;
}

void Request::complete_after_disconnect() {
    state = RequestState::completed;
    record.client_disconnected = true;
}

void Request::complete_streaming() {
    state = RequestState::completed;
}

bool Request::has_attempt_in_flight() const {
    return std::any_of(record.attempts.begin(), record.attempts.end(),
                       [](const rules::AttemptRecord& attempt) { return attempt.in_flight(); });
}

Request* RequestTable::find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

rules::AttemptRecord* RequestTable::find_attempt(const AttemptKey& key) {
    Request* request = find(key.request);
    if (!request || key.attempt < 0) return nullptr;
    const auto index = static_cast<std::size_t>(key.attempt);
    auto& attempts = request->record.attempts;
    return index < attempts.size() ? &attempts[index] : nullptr;
}

Request* RequestTable::end_attempt(const AttemptKey& key, bool never_ran) {
    rules::AttemptRecord* attempt = find_attempt(key);
    if (!attempt || attempt->ended) return nullptr;
    attempt->ended = true;
    attempt->never_ran = never_ran;
    return find(key.request);
}

void RequestTable::erase_if_finished(RequestId id) {
    const Request* request = find(id);
    if (!request || request->state != RequestState::completed) return;
    if (!request->has_attempt_in_flight()) requests_.erase(id);
}

}  // namespace silverreach::core

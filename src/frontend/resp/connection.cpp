#include "frontend/resp/connection.h"

#include <algorithm>
#include <utility>

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;
namespace wire = silverreach::resp;
constexpr Micros first_command_due = 2s,
                 command_due = 2s;  // from the connect, from a command's first byte
constexpr Micros idle_most = 8s;    // between requests
constexpr Micros unread_most = 5s;  // answers that the client does not take
constexpr Micros answer_margin =
    5ms;  // of the client's time, for the way back and this loop's turn
constexpr std::size_t places_most = 64, commands_a_turn = 64;
constexpr std::size_t queued_most = 256 * 1024;  // bytes that a client has not read
constexpr std::size_t small_command = 4096;      // always kept
constexpr std::size_t ahead_most = 32 * 1024;    // of commands read before there is room for them
constexpr Micros linger_most =
    300ms;  // for the client to end as well, once nothing is sent any more
constexpr std::size_t linger_bytes = 256 * 1024;  // of it that are read and dropped
constexpr int nonsense_free = 8;  // commands without sense before they are read more slowly
constexpr Micros nonsense_pause = 20ms;
constexpr int nonsense_steps = 25;
}  // namespace

Front::Connection::Connection(Front& front, event::Fd fd, Micros waiting_since)
    : front_(front),
      stream_(front.loop_, std::move(fd), *this, waiting_since),
      opened_(front.loop_.now()),
      since_(opened_) {}

void Front::Connection::keep(std::size_t before) {
    front_.kept_bytes_ = front_.kept_bytes_ - before + in_.size();
}

void Front::Connection::on_data(std::string_view bytes) {
    if (gone_) return;
    if (lingering_) {
        if ((dropped_ += bytes.size()) > linger_bytes) close(CloseReason::linger_flood);
        return;
    }
    // Its end may have come with the bytes: nobody waits for what they ask.
    if (stream_.peer_closed()) return close(CloseReason::client_ended);
    since_ = front_.loop_.now();
    if (ending_) {  // after a broken frame nothing makes a command any more
        if ((dropped_ += bytes.size()) > linger_bytes) stream_.read(false);
        return;
    }
    const std::size_t before = in_.size();
    in_.append(bytes);
    keep(before);
    arrivals_.add(bytes.size(), stream_.arrived());
    take_commands();
}

// What waited here may be of a client that has gone since, its end behind bytes that were not read.
void Front::Connection::work() {
    if (!working_ && !gone_ && stream_.peer_closed()) return close(CloseReason::client_ended);
    take_commands();
}

// Takes the commands that are whole, as long as there is room for their answers.
void Front::Connection::take_commands() {
    if (working_ || gone_ || ending_ || lingering_) return;
    working_ = true;
    std::size_t taken = 0;
    const std::size_t before = in_.size();
    std::string_view rest = in_;
    bool more_later = false, stopped = false;
    for (std::size_t n = 0; !gone_ && !ending_ && !rest.empty(); ++n) {
        if (waits_for_turn()) {
            stopped = true;
            break;
        }
        if (n == commands_a_turn) {
            more_later = true;
            break;
        }
        const wire::Got got = reader_.look(rest);
        if (got == wire::Got::more) break;
        if (got == wire::Got::broken) {
            ++front_.stats_.broken;
            fault(reader_.why());
            break;
        }
        ++commands_;
        std::vector<std::string_view> words;
        for (std::size_t i = 0; i < reader_.words(); ++i)
            words.push_back(reader_.word(rest, i));
        taken += reader_.size();
        const Micros now = front_.loop_.now();
        request(words, now - arrivals_.time_of(taken, now));
        rest = std::string_view(in_).substr(taken);
        reader_.next();
    }
    working_ = false;
    if (gone_) return;
    in_.erase(0, taken);
    arrivals_.consume(taken);
    if (ending_) in_.clear();
    if (in_.empty()) arrivals_.consume_all();
    if (in_.empty() && in_.capacity() > 4096) in_.shrink_to_fit();
    keep(before);
    if (in_.empty())
        partial_since_ = 0us;
    else if (taken > 0 || partial_since_ == 0us)
        partial_since_ = front_.loop_.now();
    flush();
    if (gone_) return;
    // What stopped it may have gone out with the flush, and nothing else would come back to what
    // waits.
    if (stopped && !waits_for_turn()) more_later = true;
    // One large command; whole ones that wait for their turn are kept, and no more is read.
    const bool unfinished = !more_later && !waits_for_turn();
    if (unfinished && front_.kept_bytes_ > front_.limits_.kept_bytes && in_.size() > small_command)
        return fault("too much in hand");
    hold();
    if (more_later)
        front_.loop_.after(0us, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) work();
        });
}

bool Front::Connection::waits_for_turn() const {
    return held_ || places_.size() >= places_most || stream_.queued() >= queued_most;
}

// Reads on only while there is room for what it brings. Somewhat ahead of that, so that the
// client's end is seen behind commands that wait for their turn; not where all connections together
// keep too much.
void Front::Connection::hold() {
    const bool waits = waits_for_turn();
    const bool tight = front_.kept_bytes_ > front_.limits_.kept_bytes;
    stream_.read(in_.size() <= (!waits ? wire::Limits{}.total : tight ? 0 : ahead_most));
}

void Front::Connection::request(const std::vector<std::string_view>& words, Micros waited) {
    const std::string_view command = words.front();
    if (!platform::Judge::is_request(command)) {
        if (command == "PING" && words.size() == 1) return say("+PONG\r\n");
        if (command == "PING" && words.size() == 2) {
            std::string bytes;
            wire::append_bulk(bytes, words[1]);
            return say(std::move(bytes));
        }
        if (command == "CLIENT" || command == "SELECT") return say("+OK\r\n");
        return nonsense("unknown command");
    }
    platform::Request r = front_.judge_.judge(words);
    if (!r.error.empty()) return nonsense(r.error);
    if (front_.by_client_id_.count(r.id)) return nonsense("id: a request of that name is open");
    const Micros left =
        std::min(r.attempt.time_remaining - waited, front_.time_to_end()) - answer_margin;
    if (left <= 0us) return say("-BUSY\r\n");
    r.attempt.time_remaining = left;
    nonsense_in_a_row_ = 0;
    const RequestId id = front_.core_.next_id();
    places_.push_back({id, {}});
    front_.by_client_id_[r.id] = id;
    front_.requests_[id] = {this, first_place_ + places_.size() - 1, r.id, front_.loop_.now(),
                            std::make_shared<const platform::OutCommand>(std::move(r.out))};
    front_.core_.start_request(front_.clock_(), id, r.attempt);
}

void Front::Connection::nonsense(std::string_view why) {
    ++front_.stats_.nonsense;
    // Who repeats at once what made no sense is read more slowly each time. A connection that also
    // has sense in it, a front with many customers, is not.
    if (++nonsense_in_a_row_ > nonsense_free && !held_) {
        held_ = true;
        const int steps = std::min(nonsense_in_a_row_ - nonsense_free, nonsense_steps);
        front_.loop_.after(nonsense_pause * steps, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired()) return;
            held_ = false;
            work();
        });
    }
    say("-ERR " + std::string(why) + "\r\n");
}

void Front::Connection::say(std::string bytes) {
    places_.push_back({0, std::move(bytes)});
}

void Front::Connection::answered(std::uint64_t place, std::string bytes) {
    if (gone_ || place < first_place_ || place - first_place_ >= places_.size()) return;
    Place& p = places_[place - first_place_];
    p.request = 0, p.bytes = std::move(bytes);
    if (working_) return;
    flush();
    if (!gone_ && !in_.empty())
        work();
    else if (!gone_)
        hold();
}

void Front::Connection::flush() {
    std::string out;
    while (!places_.empty() && places_.front().request == 0) {
        if (out.empty())
            out = std::move(places_.front().bytes);
        else
            out += places_.front().bytes;
        places_.pop_front();
        ++first_place_;
    }
    if (!out.empty()) {
        since_ = front_.loop_.now();
        stream_.write(out);
    }
    slow_since_ = stream_.queued() == 0 ? 0us
                  : slow_since_ == 0us  ? front_.loop_.now()
                                        : slow_since_;
    if (over()) leave(reason_to_end());
}

bool Front::Connection::over() const {
    if (lingering_) return false;
    if (!places_.empty() || stream_.queued() > 0) return false;
    if (!ending_) return front_.closing_ && (at_rest() || front_.time_to_end() <= 0us);
    return true;
}

void Front::Connection::on_drained() {
    slow_since_ = 0us;
    if (over()) return leave(reason_to_end());
    if (!in_.empty())
        work();
    else
        hold();
}

void Front::Connection::fault(std::string_view why) {
    // What was in hand before it keeps its answers, and its place before this one.
    say("-ERR Protocol error: " + std::string(why) + "\r\n");
    ending_ = true;
    flush();
}

void Front::Connection::look(Micros now) {
    if (gone_) return;
    if (lingering_) {
        if (now - since_ >= linger_most) close(CloseReason::linger_over);
        return;
    }
    if (places_.empty()) {
        if (commands_ == 0 && now - since_ >= first_command_due)
            return ++front_.stats_.silent, leave(CloseReason::no_command);
        if (commands_ > 0 && now - since_ >= idle_most && at_rest())
            return leave(CloseReason::idle);
    }
    if (over()) return leave(reason_to_end());
    if (!in_.empty() && !held_ && !ending_ && places_.size() < places_most &&
        partial_since_ > 0us && now - partial_since_ >= command_due)
        return ++front_.stats_.broken, fault("a command not finished in time");
    if (slow_since_ > 0us && now - slow_since_ >= unread_most)
        return close(CloseReason::answers_unread);
}

CloseReason Front::Connection::reason_to_end() const {
    return ending_ ? CloseReason::protocol_error : CloseReason::draining;
}

std::vector<RequestId> Front::Connection::requests_in_hand() const {
    std::vector<RequestId> out;
    for (const Place& place : places_)
        if (place.request != 0) out.push_back(place.request);
    return out;
}

void Front::Connection::tell_close(CloseReason reason) {
    front_.closing({reason, requests_in_hand().size(), front_.loop_.now() - opened_});
}

void Front::Connection::leave(CloseReason reason) {
    if (gone_ || std::exchange(lingering_, true)) return;
    tell_close(reason);
    since_ = front_.loop_.now();
    slow_since_ = 0us;
    const std::size_t before = in_.size();
    in_.clear();
    keep(before);
    stream_.end();
    stream_.read(true);
    front_.lingers(*this);
}

void Front::Connection::close(CloseReason reason) {
    if (std::exchange(gone_, true)) return;
    tell_close(reason);
    stream_.close();
    front_.kept_bytes_ -= in_.size();
    // The requests in hand have lost their client.
    const std::vector<RequestId> left = requests_in_hand();
    for (const RequestId id : left)
        if (const auto it = front_.requests_.find(id); it != front_.requests_.end()) {
            front_.by_client_id_.erase(it->second.client_id);
            front_.requests_.erase(it);
        }
    Front& front = front_;
    front.delete_later(*this);
    for (const RequestId id : left)
        front.core_.on_client_disconnected(front.clock_(), id);
}

}  // namespace silverreach::frontend::resp

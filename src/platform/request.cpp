#include "platform/request.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "resp/serializer.h"

namespace silverreach::platform {
namespace {
using namespace std::chrono_literals;
constexpr std::string_view query = "SVC.QUERY", submit = "SVC.SUBMIT";
constexpr std::size_t hex_digits = 16, most_list = 1024, most_name = 32, most_value = 128;
constexpr std::uint64_t customers = 1ull << 33;
constexpr std::int64_t most_wait_ms = 3'600'000;

// Lower case only: two spellings of a customer would be two quotas.
std::optional<std::uint64_t> hex(std::string_view text) {
    std::uint64_t value = 0;
    if (text.size() != hex_digits) return std::nullopt;
    for (const char c : text)
        if (!(c >= '0' && c <= '9') && !(c >= 'a' && c <= 'f')) return std::nullopt;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}
// `how`: further arguments of std::from_chars.
template <class T, class... How>
std::optional<T> number(std::string_view text, How... how) {
    T value{};
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, how...);
    if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
    return value;
}
bool plain(std::string_view text, std::size_t most) {
    return !text.empty() && text.size() <= most &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 0x7f && c != ','; });
}
}  // namespace

std::string OutCommand::with(Micros wait) const {
    // Rounded down, so that no host works past the time; never nothing.
    const auto ms =
        std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(wait).count());
    std::string out = head;
    resp::append_bulk(out, before + std::to_string(ms) + after);
    return out += tail;
}

CommandValidator::CommandValidator(const NodeConfig& config)
    : instances_(config.settings.instance_count), most_units_(std::max(1.0, config.most_units)) {
    const Settings& s = config.settings;
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const RequestClass& c = s.classes[i];
        classes_[c.name] = {static_cast<int>(i), c.idempotency == Idempotency::idempotent,
                            c.idempotency == Idempotency::idempotency_key, c.deadline};
    }
    for (std::size_t i = 0; i < s.plans.size(); ++i)
        plans_[s.plans[i].name] = static_cast<int>(i);
}

bool CommandValidator::is_request(std::string_view command) {
    return command == query || command == submit;
}

Request CommandValidator::validate(const std::vector<std::string_view>& words) const {
    Request r;
    const auto no = [&r](const char* why) -> Request&& { return r.error = why, std::move(r); };
    const bool asks = words.front() == query;
    if (words.size() != (asks ? 4 : 5)) return no("wrong number of arguments");
    const auto customer = hex(words[1]);
    if (!customer || *customer >= customers)
        return no("customer: expected 16 hex digits below 2^33");
    const auto id = hex(words[2]);
    if (!id) return no("id: expected 16 hex digits");
    r.id = *id;
    r.attempt.account = words[1];
    const std::string_view list = words[3];
    if (list.size() > most_list) return no("list of values: too long");

    std::optional<Class> cls;
    std::optional<int> plan;
    std::optional<std::int64_t> wait, spread, first;
    std::optional<double> units;
    bool has_key = false;
    std::vector<std::string_view> seen;
    for (std::size_t at = 0; at <= list.size();) {
        const std::size_t end = std::min(list.find(',', at), list.size());
        const std::string_view pair = list.substr(at, end - at);
        const std::size_t is = pair.find('=');
        if (is == std::string_view::npos) return no("list of values: expected name=value");
        const std::string_view name = pair.substr(0, is), value = pair.substr(is + 1);
        if (!plain(name, most_name) || !plain(value, most_value))
            return no("list of values: expected name=value");
        if (std::find(seen.begin(), seen.end(), name) != seen.end())
            return no("list of values: a name twice");
        seen.push_back(name);
        if (name == "c") {
            const auto found = classes_.find(std::string(value));
            if (found == classes_.end()) return no("c: no such class");
            cls = found->second;
        } else if (name == "t") {
            const auto found = plans_.find(std::string(value));
            if (found == plans_.end()) return no("t: no such plan");
            plan = found->second;
        } else if (name == "d") {
            wait = number<std::int64_t>(value);
            if (!wait || *wait < 1 || *wait > most_wait_ms)
                return no("d: expected milliseconds above 0");
            r.out.before = list.substr(0, at + is + 1);
            r.out.after = list.substr(end);
        } else if (name == "units") {
            units = number<double>(value, std::chars_format::fixed);
            if (!units || !(*units > 0 && *units <= most_units_)) return no("units: out of range");
        } else if (name == "spread") {
            spread = number<std::int64_t>(value);
            if (!spread || *spread < 1 || *spread > instances_) return no("spread: out of range");
        } else if (name == "first") {
            first = number<std::int64_t>(value);
            if (!first || *first < 0 || *first >= instances_) return no("first: out of range");
        } else if (name == "k") {
            if (!hex(value)) return no("k: expected 16 hex digits");
            has_key = true;
        }
        at = end + 1;
    }
    if (!cls) return no("c: missing");
    if (!wait) return no("d: missing");
    if (!plan && !plans_.empty()) return no("t: missing");
    if (cls->safe != asks) return no("c: of the other command");
    if (cls->keyed && !has_key) return no("k: missing");
    r.attempt.request_class = cls->index;
    r.out.repeatable = cls->safe || cls->keyed;
    r.attempt.plan = plan.value_or(-1);
    r.attempt.units = units.value_or(1);
    // A class's deadline is the whole patience of its clients; a longer one only holds state here.
    r.attempt.time_remaining = std::min<Micros>(std::chrono::milliseconds(*wait), cls->most);
    if (spread.has_value() != first.has_value()) return no("spread and first: only together");
    if (spread)
        r.attempt.subset = core::AccountSubset{static_cast<int>(*spread), static_cast<int>(*first)};
    resp::append_array(r.out.head, words.size());
    for (std::size_t i = 0; i < 3; ++i)
        resp::append_bulk(r.out.head, words[i]);
    if (!asks) resp::append_bulk(r.out.tail, words[4]);
    return r;
}

}  // namespace silverreach::platform

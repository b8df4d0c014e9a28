#include "link.h"

#include <simdjson.h>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base64.h"
#include "settings_json/settings_json.h"
#include "silverreach/interface.h"

namespace silverreach::benchlink {
namespace {
using namespace settings_json;

constexpr std::size_t lists_on_the_wire = 16;

Outcome read_outcome(std::string_view status) {
    static constexpr std::array<std::pair<std::string_view, Outcome>, 8> names{
        {{"GOOD", Outcome::success},
         {"BAD", Outcome::error},
         {"FULL", Outcome::rejected},
         {"LATE", Outcome::timeout},
         {"NOCONN", Outcome::connect_failed},
         {"RST", Outcome::reset},
         {"CXL", Outcome::cancelled},
         {"NOP", Outcome::not_started}}};
    for (const auto& [name, outcome] : names)
        if (name == status) return outcome;
    bad("status", "GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP");
}

struct Instance {
    DecisionEngine gateway;
    std::unordered_map<std::string, int> classes, plans;
};

// The values of one line, by position; a value past the end reads as null.
struct Fields {
    std::array<element, 20> at{};
    std::size_t count = 0;
    element get(std::size_t i, std::string_view what) const {
        if (i >= count) bad(what, "a value, the line is too short");
        return at[i];
    }
    bool present(std::size_t i) const { return i < count && !at[i].is_null(); }
};

LoadReport read_report(const Fields& f, std::size_t at) {
    LoadReport report;
    if (!f.present(at)) return report;
    const object o = as_object(f.at[at], "feedback");
    read(o, "backlog", report.queued_requests);
    read(o, "outstanding", report.in_flight_requests);
    read(o, "utilization", report.utilization);
    return report;
}

void put_number(std::string& out, std::uint64_t value) {
    char text[24];
    out.append(text, std::to_chars(text, text + sizeof text, value).ptr);
}
void put_text(std::string& out, std::string_view text) {
    out.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') out.push_back('\\');
        out.push_back(c);
    }
    out.push_back('"');
}
}  // namespace

struct Link::State {
    simdjson::dom::parser parser;
    std::uint64_t lines = 0;
    Micros now{0};
    bool in_batch = false;
    std::array<std::optional<std::vector<EndpointEntry>>, lists_on_the_wire> lists;
    std::map<std::int64_t, Instance> instances;
    std::vector<Action> actions;
    std::string reply;

    bool line(std::string& text, std::string& out);
    void event(std::string_view name, const Fields& f);
    void attach(const Fields& f);
    void directory(const Fields& f);
    void feed(std::int64_t number, Instance& instance, const Event& event);
    void write(std::int64_t number, const Action& action);
    void open(std::string_view word, std::int64_t number) {
        reply.append("[\"").append(word).append("\",");
        put_number(reply, static_cast<std::uint64_t>(number));
    }
    void put(std::uint64_t value) {
        reply.push_back(',');
        put_number(reply, value);
    }
    void put(std::string_view text) {
        reply.push_back(',');
        put_text(reply, text);
    }
};

Link::Link() : state_(std::make_unique<State>()) {}
Link::~Link() = default;

bool Link::take_line(std::string& line, std::string& out) {
    ++state_->lines;
    try {
        return state_->line(line, out);
    } catch (const BadValue& error) {
        throw WireError("line " + std::to_string(state_->lines) + ": " + error.what());
    } catch (const std::invalid_argument& error) {
        throw WireError("line " + std::to_string(state_->lines) + ": " + error.what());
    }
}

bool Link::State::line(std::string& text, std::string& out) {
    if (text.find_first_not_of(" \t\r") == std::string::npos) return false;
    text.reserve(text.size() + simdjson::SIMDJSON_PADDING);
    element root;
    if (parser.parse(text.data(), text.size(), false).get(root) != simdjson::SUCCESS)
        bad("malformed line", "one JSON array");
    array values;
    if (root.get(values) != simdjson::SUCCESS) bad("malformed line", "one JSON array");
    std::string_view name;
    Fields f;
    bool first = true;
    for (element e : values) {
        if (first) {
            name = as_text(e, "message name");
            first = false;
        } else if (f.count < f.at.size()) {
            f.at[f.count++] = e;
        }
    }
    if (first) bad("malformed line", "a message name");
    if (name == "Turn") {
        const Micros then(as_integer(f.get(0, "clock"), "clock"));
        if (then < now) bad("clock", "a time that does not go back");
        now = then;
        in_batch = true;
        return false;
    }
    if (!in_batch) bad("message outside a batch", "a Turn line first");
    if (name == "EofBatch") {
        in_batch = false;
        out.append(reply).append("[\"End\"]\n");
        reply.clear();
        return true;
    }
    event(name, f);
    return false;
}

void Link::State::attach(const Fields& f) {
    const std::int64_t number = as_integer(f.get(0, "gatewayId"), "gatewayId");
    if (number < 0) bad("gatewayId", "a number not below 0");
    const Settings settings = read_settings(as_object(f.get(2, "config"), "config"));
    Instance instance{
        DecisionEngine(settings, as_unsigned(f.get(1, "rngSeed"), "rngSeed"), now), {}, {}};
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        instance.classes.emplace(settings.classes[i].name, static_cast<int>(i));
    for (std::size_t i = 0; i < settings.plans.size(); ++i)
        instance.plans.emplace(settings.plans[i].name, static_cast<int>(i));
    instances.insert_or_assign(number, std::move(instance));
}

void Link::State::directory(const Fields& f) {
    const std::int64_t slot = as_integer(f.get(0, "slot"), "slot");
    if (slot < 0 || slot >= static_cast<std::int64_t>(lists.size()))
        bad("slot", "a list number from 0 to 15");
    std::vector<EndpointEntry> entries;
    for (element e : as_array(f.get(1, "records"), "records")) {
        Fields row;
        for (element value : as_array(e, "records[]"))
            if (row.count < row.at.size()) row.at[row.count++] = value;
        EndpointEntry entry;
        entry.id = as_text(row.get(0, "host"), "host");
        if (row.present(1)) entry.zone = as_text(row.at[1], "failureDomain");
        if (row.present(2)) entry.kind = as_text(row.at[2], "hw");
        if (row.present(3)) entry.cell = as_integer(row.at[3], "pack");
        const std::string_view health = as_text(row.get(4, "health"), "health");
        if (health == "U")
            entry.status = EndpointStatus::available;
        else if (health == "L")
            entry.status = EndpointStatus::draining;
        else if (health == "D")
            entry.status = EndpointStatus::removed;
        else
            bad("health", "U, L or D");
        if (row.present(5)) entry.weight = as_number(row.at[5], "weight");
        if (row.present(6)) entry.started_at = Micros(as_integer(row.at[6], "bootTimeUs"));
        entries.push_back(std::move(entry));
    }
    lists[static_cast<std::size_t>(slot)] = std::move(entries);
}

void Link::State::event(std::string_view name, const Fields& f) {
    if (name == "Attach") return attach(f);
    if (name == "Directory") return directory(f);
    enum class Kind {
        sync,
        request,
        returned,
        destroy,
        gone,
        peer,
        ping,
        timer
    };
    static const std::unordered_map<std::string_view, Kind> kinds{
        {"Sync", Kind::sync},       {"NewRequest", Kind::request}, {"Returned", Kind::returned},
        {"Destroy", Kind::destroy}, {"Gone", Kind::gone},          {"PeerData", Kind::peer},
        {"PingResult", Kind::ping}, {"Timer", Kind::timer}};
    const auto kind = kinds.find(name);
    if (kind == kinds.end()) return;  // events this version does not know
    const std::int64_t number = as_integer(f.get(0, "gatewayId"), "gatewayId");
    const auto found = instances.find(number);
    if (kind->second == Kind::sync) {
        const std::string_view how = as_text(f.get(1, "kind"), "kind");
        if (how == "unavailable") return;
        const std::int64_t slot = as_integer(f.get(3, "slot"), "slot");
        if (slot < 0 || slot >= static_cast<std::int64_t>(lists.size()) ||
            !lists[static_cast<std::size_t>(slot)])
            bad("slot", "the number of a list that a Directory declared");
        if (found == instances.end()) return;
        return feed(number, found->second,
                    EndpointsChanged{how != "update", *lists[static_cast<std::size_t>(slot)]});
    }
    if (found == instances.end()) return;
    Instance& instance = found->second;
    switch (kind->second) {
        case Kind::request: {
            RequestArrived r;
            r.id = as_unsigned(f.get(1, "xid"), "xid");
            if (f.present(2)) r.subset_size = static_cast<int>(as_integer(f.at[2], "nEntries"));
            if (f.present(3)) r.subset_start = static_cast<int>(as_integer(f.at[3], "setStart"));
            r.time_remaining = Micros(as_integer(f.get(4, "timeLeftUs"), "timeLeftUs"));
            if (f.present(5)) r.customer = as_text(f.at[5], "apiKey");
            r.plan = -1;
            if (f.present(7)) {
                const auto plan = instance.plans.find(std::string(as_text(f.at[7], "contract")));
                if (plan != instance.plans.end()) r.plan = plan->second;
            }
            const auto cls =
                instance.classes.find(std::string(as_text(f.get(8, "category"), "category")));
            if (cls == instance.classes.end()) bad("category", "a class of the settings");
            r.request_class = cls->second;
            if (f.present(9)) r.units = as_number(f.at[9], "sizeUnits");
            return feed(number, instance, r);
        }
        case Kind::returned: {
            AttemptEnded a;
            a.id = as_unsigned(f.get(1, "xid"), "xid");
            a.attempt = static_cast<int>(as_integer(f.get(2, "sendNo"), "sendNo"));
            a.endpoint = as_text(f.get(3, "host"), "host");
            a.outcome = read_outcome(as_text(f.get(4, "status"), "status"));
            if (f.present(5)) a.duration = Micros(as_integer(f.at[5], "timeTakenUs"));
            a.request_completed = as_bool(f.get(6, "settled"), "settled");
            if (f.present(8)) a.actual_units = as_number(f.at[8], "actual");
            a.load_report = read_report(f, 9);
            return feed(number, instance, a);
        }
        case Kind::destroy:
            instances.erase(found);
            return;
        case Kind::gone:
            return feed(number, instance, ClientDisconnected{as_unsigned(f.get(1, "xid"), "xid")});
        case Kind::peer: {
            const auto bytes = from_base64(as_text(f.get(2, "bytes"), "bytes"));
            if (!bytes) bad("bytes", "padded base64");
            const auto from = static_cast<int>(as_integer(f.get(1, "neighbour"), "neighbour"));
            return feed(number, instance, PeerMessageReceived{from, *bytes});
        }
        case Kind::ping: {
            HealthCheckEnded p;
            p.endpoint = as_text(f.get(1, "host"), "host");
            p.outcome = read_outcome(as_text(f.get(2, "status"), "status"));
            if (f.present(3)) p.duration = Micros(as_integer(f.at[3], "timeTakenUs"));
            p.load_report = read_report(f, 4);
            return feed(number, instance, p);
        }
        case Kind::timer: {
            const std::string_view label = as_text(f.get(1, "label"), "label");
            std::uint64_t token = 0;
            const auto read_to = std::from_chars(label.data(), label.data() + label.size(), token);
            if (read_to.ec != std::errc() || read_to.ptr != label.data() + label.size())
                return;  // not ours
            return feed(number, instance, TimerFired{token});
        }
        case Kind::sync:
            return;
    }
}

void Link::State::feed(std::int64_t number, Instance& instance, const Event& event) {
    actions.clear();
    instance.gateway.handle(now, event, actions);
    for (const Action& action : actions)
        write(number, action);
}

void Link::State::write(std::int64_t number, const Action& action) {
    struct Writer {
        State& s;
        std::int64_t number;
        void operator()(const SendAttempt& a) const {
            s.open("Send", number);
            s.put(a.id);
            s.put(a.endpoint);
            s.put(static_cast<std::uint64_t>(a.timeout.count()));
        }
        void operator()(const RejectRequest& a) const {
            s.open("Bounce", number);
            s.put(a.id);
            s.put(static_cast<std::uint64_t>(a.retry_after.count()));
        }
        void operator()(const FailRequest& a) const {
            s.open("DropRequest", number);
            s.put(a.id);
        }
        void operator()(const CancelAttempt& a) const {
            s.open("Retract", number);
            s.put(a.id);
            s.put(static_cast<std::uint64_t>(a.attempt));
        }
        void operator()(const StartHealthCheck& a) const {
            s.open("Test", number);
            s.put(a.endpoint);
        }
        void operator()(const SetTimer& a) const {
            s.open("WakeAt", number);
            s.put(static_cast<std::uint64_t>(a.delay.count()));
            s.reply.append(",\"");
            put_number(s.reply, a.token);
            s.reply.push_back('"');
        }
        void operator()(const SendPeerMessage& a) const {
            s.open("WritePeer", number);
            if (a.to < 0)
                s.put(std::string_view("*"));
            else
                s.put(static_cast<std::uint64_t>(a.to));
            s.reply.append(",\"");
            append_base64(s.reply, a.bytes);
            s.reply.push_back('"');
        }
    };
    std::visit(Writer{*this, number}, action);
    reply.append("]\n");
}

}  // namespace silverreach::benchlink

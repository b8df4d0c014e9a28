#include "bench_link.h"

#include <simdjson.h>

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "action_writer.h"
#include "event_reader.h"
#include "settings_json/settings_json.h"
#include "silverreach/interface.h"
#include "wire_message.h"
#include "wire_names.h"

namespace silverreach::benchlink {
namespace {
using settings_json::ValueError;

constexpr std::size_t endpoint_list_count = 16;

struct Instance {
    DecisionEngine engine;
    SettingsNameIndex name_index;
};
}  // namespace

class BenchLink::Impl {
  public:
    bool handle_line(std::string& line, std::string& out);
    std::uint64_t line_number() const { return line_number_; }

  private:
    using EventHandler = void (Impl::*)(std::int64_t, Instance&, const WireValues&);

    void begin_batch(const WireValues& values);
    void handle_message(const WireMessage& message);
    void start_instance(const WireValues& values);
    void store_endpoint_list(const WireValues& values);
    void on_endpoints_changed(std::int64_t instance_number, const WireValues& values);

    void stop_instance(std::int64_t instance_number, Instance& instance, const WireValues& values);
    void on_request_arrived(std::int64_t instance_number, Instance& instance,
                            const WireValues& values);
    void on_attempt_ended(std::int64_t instance_number, Instance& instance,
                          const WireValues& values);
    void on_health_check_ended(std::int64_t instance_number, Instance& instance,
                               const WireValues& values);
    void on_client_disconnected(std::int64_t instance_number, Instance& instance,
                                const WireValues& values);
    void on_peer_message(std::int64_t instance_number, Instance& instance,
                         const WireValues& values);
    void on_timer(std::int64_t instance_number, Instance& instance, const WireValues& values);

    static const std::unordered_map<std::string_view, EventHandler>& event_handlers();
    Instance* find_instance(std::int64_t instance_number);
    void handle_event(std::int64_t instance_number, Instance& instance, const Event& event);

    simdjson::dom::parser parser_;
    std::uint64_t line_number_ = 0;
    Micros now_{0};
    bool in_batch_ = false;
    std::array<std::optional<std::vector<EndpointEntry>>, endpoint_list_count> endpoint_lists_;
    std::map<std::int64_t, Instance> instances_;  // by instance number
    std::vector<Action> actions_;
    ActionWriter writer_;
};

WireError::WireError(std::uint64_t line, std::string_view problem)
    : std::runtime_error("line " + std::to_string(line) + ": " + std::string(problem)),
      line_number(line) {}

BenchLink::BenchLink() : impl_(std::make_unique<Impl>()) {}
BenchLink::~BenchLink() = default;

bool BenchLink::handle_line(std::string& line, std::string& out) {
    try {
        return impl_->handle_line(line, out);
    } catch (const ValueError& error) {
        throw WireError(impl_->line_number(), error.what());
    } catch (const std::invalid_argument& error) {  // the engine rejects the settings
        throw WireError(impl_->line_number(), error.what());
    }
}

bool BenchLink::Impl::handle_line(std::string& line, std::string& out) {
    ++line_number_;
    if (line.find_first_not_of(" \t\r") == std::string::npos) return false;
    const WireMessage message = parse_wire_message(parser_, line);
    if (message.name == batch_begin::message) {
        begin_batch(message.values);
        return false;
    }
    if (!in_batch_)
        throw ValueError("message outside a batch", "a Turn line at the start of the batch");
    if (message.name == batch_end::message) {
        in_batch_ = false;
        writer_.finish_reply(out);
        return true;
    }
    handle_message(message);
    return false;
}

void BenchLink::Impl::begin_batch(const WireValues& values) {
    const Micros clock = values.micros(batch_begin::clock);
    if (clock < now_)
        throw ValueError(batch_begin::clock.name, "a time that is not before the previous batch");
    now_ = clock;
    in_batch_ = true;
}

void BenchLink::Impl::handle_message(const WireMessage& message) {
    const WireValues& values = message.values;
    if (message.name == start_instance::message) return start_instance(values);
    if (message.name == endpoint_list::message) return store_endpoint_list(values);
    const bool is_endpoints_changed = message.name == endpoints_changed::message;
    const auto handler = event_handlers().find(message.name);
    if (!is_endpoints_changed && handler == event_handlers().end()) return;
    const std::int64_t instance_number = values.integer(instance_number_field);
    if (is_endpoints_changed) return on_endpoints_changed(instance_number, values);
    if (Instance* instance = find_instance(instance_number))
        (this->*handler->second)(instance_number, *instance, values);
}

void BenchLink::Impl::start_instance(const WireValues& values) {
    const std::int64_t instance_number = values.integer(instance_number_field);
    if (instance_number < 0) throw ValueError(instance_number_field.name, "a non-negative number");
    const Settings settings = settings_json::read_settings(values.object(start_instance::settings));
    const std::uint64_t seed = values.unsigned_integer(start_instance::seed);
    instances_.insert_or_assign(instance_number, Instance{DecisionEngine(settings, seed, now_),
                                                          SettingsNameIndex(settings)});
}

void BenchLink::Impl::store_endpoint_list(const WireValues& values) {
    const std::int64_t slot = values.integer(endpoint_list::slot);
    if (slot < 0 || slot >= static_cast<std::int64_t>(endpoint_lists_.size()))
        throw ValueError(endpoint_list::slot.name, "a list number from 0 to 15");
    endpoint_lists_[static_cast<std::size_t>(slot)] = read_endpoint_list(values);
}

void BenchLink::Impl::on_endpoints_changed(std::int64_t instance_number, const WireValues& values) {
    namespace wire = endpoints_changed;
    const std::string_view kind = values.text(wire::kind);
    if (kind == wire::kind_unavailable) return;
    const std::int64_t slot = values.integer(wire::slot);
    if (slot < 0 || slot >= static_cast<std::int64_t>(endpoint_lists_.size()) ||
        !endpoint_lists_[static_cast<std::size_t>(slot)])
        throw ValueError(wire::slot.name, "the number of a list that a Directory message defined");
    Instance* instance = find_instance(instance_number);
    if (!instance) return;
    const bool complete = kind != wire::kind_update;
    handle_event(instance_number, *instance,
                 EndpointsChanged{complete, *endpoint_lists_[static_cast<std::size_t>(slot)]});
}

void BenchLink::Impl::stop_instance(std::int64_t instance_number, Instance& /*instance*/,
                                    const WireValues& /*values*/) {
    instances_.erase(instance_number);
}

void BenchLink::Impl::on_request_arrived(std::int64_t instance_number, Instance& instance,
                                         const WireValues& values) {
    handle_event(instance_number, instance, read_request_arrived(values, instance.name_index));
}

void BenchLink::Impl::on_attempt_ended(std::int64_t instance_number, Instance& instance,
                                       const WireValues& values) {
    handle_event(instance_number, instance, read_attempt_ended(values));
}

void BenchLink::Impl::on_health_check_ended(std::int64_t instance_number, Instance& instance,
                                            const WireValues& values) {
    handle_event(instance_number, instance, read_health_check_ended(values));
}

void BenchLink::Impl::on_client_disconnected(std::int64_t instance_number, Instance& instance,
                                             const WireValues& values) {
    handle_event(instance_number, instance, read_client_disconnected(values));
}

void BenchLink::Impl::on_peer_message(std::int64_t instance_number, Instance& instance,
                                      const WireValues& values) {
    handle_event(instance_number, instance, read_peer_message(values));
}

void BenchLink::Impl::on_timer(std::int64_t instance_number, Instance& instance,
                               const WireValues& values) {
    if (const auto event = read_timer_fired(values))
        handle_event(instance_number, instance, *event);
}

const std::unordered_map<std::string_view, BenchLink::Impl::EventHandler>&
BenchLink::Impl::event_handlers() {
    static const std::unordered_map<std::string_view, EventHandler> handlers{
        {stop_instance::message, &Impl::stop_instance},
        {request_arrived::message, &Impl::on_request_arrived},
        {attempt_ended::message, &Impl::on_attempt_ended},
        {health_check_ended::message, &Impl::on_health_check_ended},
        {client_disconnected::message, &Impl::on_client_disconnected},
        {peer_message_received::message, &Impl::on_peer_message},
        {timer_fired::message, &Impl::on_timer}};
    return handlers;
}

Instance* BenchLink::Impl::find_instance(std::int64_t instance_number) {
    const auto found = instances_.find(instance_number);
    return found == instances_.end() ? nullptr : &found->second;
}

void BenchLink::Impl::handle_event(std::int64_t instance_number, Instance& instance,
                                   const Event& event) {
    actions_.clear();
    instance.engine.handle(now_, event, actions_);
    for (const Action& action : actions_)
        writer_.write(instance_number, action);
}

}  // namespace silverreach::benchlink

#include "fakes/host.h"

#include <fmt/format.h>
#include <sys/time.h>

#include <cmath>
#include <utility>

namespace silverreach::fakes {
namespace {
std::string field_or_empty(const http::Head& head, std::string_view name) {
    const std::string* value = http::find(head.fields, name);
    return value ? *value : "";
}
int gateway_rank(const std::string& via) {  // "1.1 silverreach-2"
    const std::size_t position = via.rfind("silverreach-");
    return position == std::string::npos ? -1 : std::atoi(via.c_str() + position + 12);
}
}  // namespace

std::int64_t unix_ms_now() {
    timeval time{};
    gettimeofday(&time, nullptr);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_usec / 1000;
}

Host::Host(event::Loop& loop, HostSettings settings, std::uint64_t seed, Recorder& records,
           std::shared_ptr<DeduplicationGroup> group,
           std::function<std::string(const std::string&)> plan_of_key)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(seed),
      records_(records),
      group_(std::move(group)),
      plan_of_key_(std::move(plan_of_key)) {
    start(false);
}
Host::~Host() {
    alive_.reset();
}

void Host::start(bool is_cold) {
    if (server_) return;
    ++incarnation_;
    server_ = std::make_unique<Server>(
        loop_, settings_.ip, settings_.port,
        [this](Server::Token token, const http::Head& head, const std::string& body) {
            handle_request(token, head, body);
        });
    settings_.port = server_->port();
    const bool is_ipv6 = settings_.ip.find(':') != std::string::npos;
    address_ = fmt::format("{}{}{}:{}", is_ipv6 ? "[" : "", settings_.ip, is_ipv6 ? "]" : "",
                           settings_.port);
    HostModelSettings model_settings = settings_.model;
    if (!is_cold) model_settings.slow_start_window = Micros(0);
    model_ = std::make_unique<HostModel>(model_settings, loop_.now());
    started_unix_ms_ = is_cold ? unix_ms_now() : 0;
    is_stalled_ = false;
    records_.add(loop_.now(), "host", "started",
                 {{"host", address_},
                  {"cold", is_cold},
                  {"full_capacity", model_settings.cores * model_settings.speed},
                  {"zone", settings_.zone}});
}
void Host::kill() {
    if (!server_) return;
    records_.add(loop_.now(), "host", "killed", {{"host", address_}});
    server_->reset_all();
    auto old = std::shared_ptr<Server>(std::move(server_));
    loop_.after(Micros(0), [old] {});  // a handler of the server may be running
    model_.reset();
    jobs_.clear();
    ++incarnation_;
}
void Host::set_stalled(bool on) {
    if (!server_) return;
    records_.add(loop_.now(), "host", on ? "stalled" : "resumed", {{"host", address_}});
    is_stalled_ = on;
    if (!on) complete_jobs();
}
void Host::reject_plan(const std::string& plan) {
    rejected_plan_ = plan;
}
void Host::truncate_responses(bool on) {
    truncates_responses_ = on;
}

std::string Host::load_report_field() {
    return fmt::format(
        "endpoint-load-metrics: TEXT "
        "cpu_utilization={:.3f},named_metrics.queue={},named_metrics.inflight={}\r\n",
        static_cast<double>(model_->running()) / settings_.model.cores, model_->queued(),
        model_->queued() + model_->running());
}

void Host::respond(Server::Token token, int status, const std::string& fields,
                   const std::string& body, bool to_head_request) {
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{}{}\r\n",
                    status, http::reason_phrase(status), body.size(), load_report_field(), fields);
    if (!to_head_request) out += truncates_responses_ ? body.substr(0, body.size() / 2) : body;
    server_->respond(token, out, truncates_responses_);
}

void Host::handle_request(Server::Token token, const http::Head& head, const std::string& body) {
    if (head.target == "/load") return respond(token, 200, "", "", false);
    const Micros now = loop_.now();
    Job job{token,
            field_or_empty(head, "X-Request-Id"),
            field_or_empty(head, "Idempotency-Key"),
            field_or_empty(head, "X-Op"),
            field_or_empty(head, "X-Effect"),
            head.method == "HEAD"};
    const std::string units_text = field_or_empty(head, settings_.units_header);
    const double units = units_text.empty() ? 1 : std::atof(units_text.c_str());
    std::exponential_distribution<double> work_spread(1);
    const double scale = 0.5 + 0.5 * std::min(work_spread(random_), 4.0);
    const Micros work(static_cast<std::int64_t>(static_cast<double>(settings_.mean_work.count()) *
                                                units * scale));
    const std::string api_key = field_or_empty(head, settings_.key_header);
    nlohmann::json fields = {
        {"host", address_},
        {"id", job.id},
        {"op", job.operation},
        {"gateway", gateway_rank(field_or_empty(head, "Via"))},
        {"attempt", std::atoi(field_or_empty(head, "Silverreach-Attempt").c_str())},
        {"method", head.method},
        {"target", head.target},
        {"units", units},
        {"work_us", work.count()},
        {"bytes", body.size()}};
    const bool is_rejected = !rejected_plan_.empty() && plan_of_key_(api_key) == rejected_plan_;
    const std::uint64_t number = next_job_++;
    const bool is_accepted = !is_rejected && model_->submit(now, number, work);
    fields["taken"] = is_accepted;
    records_.add(now, "host", "received", fields);
    if (model_->has_failed()) {
        records_.add(now, "host", "fell", {{"host", address_}});
        return kill();
    }
    if (!is_accepted)
        return respond(token, 503, "Tally-Full: 1\r\n", "full\n", job.is_head_request);
    jobs_.emplace(number, std::move(job));
    complete_jobs();
}

void Host::complete_jobs() {
    if (!server_ || is_stalled_) return;
    const Micros now = loop_.now();
    for (const HostModel::Completion& completion : model_->take_completed(now)) {
        const auto it = jobs_.find(completion.job);
        if (it == jobs_.end()) continue;
        const Job job = std::move(it->second);
        jobs_.erase(it);
        bool is_repeat = false;
        if (!job.idempotency_key.empty()) {
            auto [executed, is_new] = group_->executed_at.try_emplace(job.idempotency_key, now);
            is_repeat = !is_new && now - executed->second < group_->window;
            if (!is_repeat) executed->second = now;
        }
        records_.add(
            now, "host", is_repeat ? "dropped_repeat" : "ran",
            {{"host", address_}, {"id", job.id}, {"op", job.operation}, {"effect", job.effect}});
        respond(job.token, 200, "", "counted " + job.id + "\n", job.is_head_request);
    }
    schedule_completion();
}
void Host::schedule_completion() {
    if (const auto next = model_->next_completion())
        loop_.after(std::max(*next - loop_.now(), Micros(0)),
                    [this, expected = incarnation_, alive = std::weak_ptr<bool>(alive_)] {
                        if (!alive.expired() && expected == incarnation_) complete_jobs();
                    });
}

}  // namespace silverreach::fakes

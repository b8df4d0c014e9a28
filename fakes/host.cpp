#include "fakes/host.h"

#include <fmt/format.h>
#include <sys/time.h>

#include <cmath>
#include <utility>

namespace silverreach::fakes {
namespace {
std::string field_or(const http::Head& head, std::string_view name) {
    const std::string* value = http::find(head.fields, name);
    return value ? *value : "";
}
int gateway_of(const std::string& via) {  // "1.1 silverreach-2"
    const std::size_t at = via.rfind("silverreach-");
    return at == std::string::npos ? -1 : std::atoi(via.c_str() + at + 12);
}
}  // namespace

std::int64_t unix_ms_now() {
    timeval t{};
    gettimeofday(&t, nullptr);
    return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_usec / 1000;
}

Host::Host(event::Loop& loop, HostSettings settings, std::uint64_t seed, Recorder& records,
           std::shared_ptr<Group> group, std::function<std::string(const std::string&)> plan_of)
    : loop_(loop),
      s_(std::move(settings)),
      random_(seed),
      records_(records),
      group_(std::move(group)),
      plan_of_(std::move(plan_of)) {
    start(false);
}
Host::~Host() {
    alive_.reset();
}

void Host::start(bool cold) {
    if (server_) return;
    ++life_;
    server_ = std::make_unique<Server>(
        loop_, s_.ip, s_.port,
        [this](Server::Token t, const http::Head& h, const std::string& b) { handle(t, h, b); });
    s_.port = server_->port();
    const bool v6 = s_.ip.find(':') != std::string::npos;
    address_ = fmt::format("{}{}{}:{}", v6 ? "[" : "", s_.ip, v6 ? "]" : "", s_.port);
    TallySettings tally = s_.tally;
    if (!cold) tally.cold = Micros(0);
    tally_ = std::make_unique<Tally>(tally, loop_.now());
    started_unix_ms_ = cold ? unix_ms_now() : 0;
    stalled_ = false;
    records_.add(loop_.now(), "host", "started",
                 {{"host", address_},
                  {"cold", cold},
                  {"full_capacity", tally.cores * tally.speed},
                  {"zone", s_.zone}});
}
void Host::kill() {
    if (!server_) return;
    records_.add(loop_.now(), "host", "killed", {{"host", address_}});
    server_->reset_all();
    auto old = std::shared_ptr<Server>(std::move(server_));
    loop_.after(Micros(0), [old] {});  // it may be in the middle of a call
    tally_.reset();
    jobs_.clear();
    ++life_;
}
void Host::stall(bool on) {
    if (!server_) return;
    records_.add(loop_.now(), "host", on ? "stalled" : "resumed", {{"host", address_}});
    stalled_ = on;
    if (!on) advance();
}
void Host::refuse_plan(const std::string& plan) {
    refused_plan_ = plan;
}
void Host::cut_answers(bool on) {
    cut_ = on;
}

std::string Host::report() {
    return fmt::format(
        "endpoint-load-metrics: TEXT "
        "cpu_utilization={:.3f},named_metrics.queue={},named_metrics.inflight={}\r\n",
        static_cast<double>(tally_->running()) / s_.tally.cores, tally_->waiting(),
        tally_->waiting() + tally_->running());
}

void Host::answer(Server::Token token, int status, const std::string& fields,
                  const std::string& body, bool to_head) {
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{}{}\r\n",
                    status, http::reason_phrase(status), body.size(), report(), fields);
    if (!to_head) out += cut_ ? body.substr(0, body.size() / 2) : body;
    server_->answer(token, out, cut_);
}

void Host::handle(Server::Token token, const http::Head& head, const std::string& body) {
    if (head.target == "/load") return answer(token, 200, "", "", false);
    const Micros now = loop_.now();
    Job job{token,
            field_or(head, "X-Request-Id"),
            field_or(head, "Idempotency-Key"),
            field_or(head, "X-Op"),
            field_or(head, "X-Effect"),
            head.method == "HEAD"};
    const std::string units_text = field_or(head, s_.units_header);
    const double units = units_text.empty() ? 1 : std::atof(units_text.c_str());
    std::exponential_distribution<double> spread(1);
    const double scale = 0.5 + 0.5 * std::min(spread(random_), 4.0);
    const Micros work(
        static_cast<std::int64_t>(static_cast<double>(s_.mean_work.count()) * units * scale));
    const std::string key = field_or(head, s_.key_header);
    nlohmann::json fields = {{"host", address_},
                             {"id", job.id},
                             {"op", job.op},
                             {"gateway", gateway_of(field_or(head, "Via"))},
                             {"attempt", std::atoi(field_or(head, "Silverreach-Attempt").c_str())},
                             {"method", head.method},
                             {"target", head.target},
                             {"units", units},
                             {"work_us", work.count()},
                             {"bytes", body.size()}};
    const bool refused = !refused_plan_.empty() && plan_of_(key) == refused_plan_;
    const std::uint64_t number = next_job_++;
    const bool taken = !refused && tally_->arrive(now, number, work);
    fields["taken"] = taken;
    records_.add(now, "host", "received", fields);
    if (tally_->fallen()) {
        records_.add(now, "host", "fell", {{"host", address_}});
        return kill();
    }
    if (!taken) return answer(token, 503, "Tally-Full: 1\r\n", "full\n", job.head_method);
    jobs_.emplace(number, std::move(job));
    advance();
}

void Host::advance() {
    if (!server_ || stalled_) return;
    const Micros now = loop_.now();
    for (const Tally::Done& done : tally_->advance(now)) {
        const auto it = jobs_.find(done.job);
        if (it == jobs_.end()) continue;
        const Job job = std::move(it->second);
        jobs_.erase(it);
        bool repeat = false;
        if (!job.key.empty()) {
            auto [ran, fresh] = group_->ran.try_emplace(job.key, now);
            repeat = !fresh && now - ran->second < group_->window;
            if (!repeat) ran->second = now;
        }
        records_.add(now, "host", repeat ? "dropped_repeat" : "ran",
                     {{"host", address_}, {"id", job.id}, {"op", job.op}, {"effect", job.effect}});
        answer(job.token, 200, "", "counted " + job.id + "\n", job.head_method);
    }
    arm();
}
void Host::arm() {
    if (const auto next = tally_->next())
        loop_.after(std::max(*next - loop_.now(), Micros(0)),
                    [this, life = life_, alive = std::weak_ptr<bool>(alive_)] {
                        if (!alive.expired() && life == life_) advance();
                    });
}

}  // namespace silverreach::fakes

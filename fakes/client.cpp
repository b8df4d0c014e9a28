#include "fakes/client.h"

#include <fmt/format.h>

#include <algorithm>

namespace silverreach::fakes {
namespace {
// Time after the deadline in which a late response is still recorded, as late.
constexpr Micros late_response_wait = std::chrono::milliseconds(200);
}  // namespace

struct Clients::Connection : event::StreamOwner, http::Parser::Events {
    Connection(Clients& parent, int gateway_rank, int gateway_port, event::Fd fd)
        : clients(parent),
          gateway(gateway_rank),
          port(gateway_port),
          stream(parent.loop_, std::move(fd), *this, true),
          parser(http::Parser::Kind::response, *this) {}

    void start(Request new_request, const std::string& bytes) {
        request = std::move(new_request);
        is_busy = true, head_seen = false, status = 0, body.clear(), retry_after = Micros(0);
        sent = clients.loop_.now();
        ++exchange;
        parser.reset();
        parser.set_response_to_head(request.flow.method == "HEAD");
        stream.write(bytes);
        clients.loop_.after(request.flow.deadline + late_response_wait,
                            [this, expected = exchange, alive = std::weak_ptr<bool>(alive)] {
                                if (!alive.expired() && expected == exchange && is_busy)
                                    end("gave_up", false);
                            });
    }
    void on_data(std::string_view bytes) override {
        if (!is_busy) {
            add_record("extra", {{"bytes", bytes.size()}});
            return end("", false);
        }
        const std::size_t consumed = parser.feed(bytes);
        if (!is_busy || !parser.done()) return;
        const bool has_extra = consumed < bytes.size();
        if (has_extra) add_record("extra", {{"bytes", bytes.size() - consumed}});
        end("answer", keep_alive && !has_extra);
    }
    void on_end() override { is_busy ? end("broken", false) : end("", false); }
    void on_error(int) override { is_busy ? end("broken", false) : end("", false); }
    bool on_head(http::Head& head) override {
        head_seen = true, status = head.status, keep_alive = head.keep_alive;
        if (const auto* value = http::find(head.fields, "Retry-After-Ms"))
            retry_after = std::chrono::milliseconds(std::atoll(value->c_str()));
        return true;
    }
    void on_body(std::string_view bytes) override {
        if (body.size() < 1024) body.append(bytes);
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override { is_busy ? end("broken", false) : end("", false); }

    void add_record(const char* what, nlohmann::json fields) {
        fields["id"] = request.id, fields["gateway"] = gateway;
        clients.records_.add(clients.loop_.now(), "client", what, std::move(fields));
    }
    void end(const char* what, bool reuse) {
        const bool was_busy = std::exchange(is_busy, false);
        ++exchange;
        if (!reuse) stream.close();
        bool may_retry_safely = false;
        if (was_busy) {
            std::string reason_name;
            if (status >= 400) {
                const auto problem = nlohmann::json::parse(body, nullptr, false);
                reason_name = problem.is_object() ? problem.value("type", "") : "";
                reason_name = reason_name.substr(reason_name.rfind(':') + 1);
                may_retry_safely =
                    reason_name != "no-time" && reason_name != "bad-answer" && !reason_name.empty();
            }
            add_record(what,
                       {{"status", status}, {"reason", reason_name}, {"head_seen", head_seen}});
        }
        const Request ended_request = request;
        const int response_status = status;
        const Micros wait = retry_after;
        const bool is_answered = std::string_view(what) == "answer";
        Clients& parent = clients;
        parent.release(*this, reuse);
        if (was_busy)
            parent.on_request_ended(ended_request, is_answered ? response_status : 0, wait,
                                    may_retry_safely);
    }

    Clients& clients;
    int gateway, port;
    event::Stream stream;
    http::Parser parser;
    Request request;
    Micros sent{0}, retry_after{0};
    std::string body;
    int status = 0;
    std::uint64_t exchange = 0;
    bool is_busy = false, keep_alive = true, head_seen = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Clients::Clients(event::Loop& loop, std::uint64_t seed, Recorder& records,
                 std::function<std::vector<int>()> gateway_ports)
    : loop_(loop),
      random_(seed),
      records_(records),
      gateway_ports_(std::move(gateway_ports)),
      began_at_(loop.now()),
      deferred_deletion_(loop) {}
Clients::~Clients() {
    alive_.reset();
}

std::string Clients::make_id() {
    return fmt::format("t{}-{:08x}", next_id_++, random_() & 0xFFFFFFFF);
}

void Clients::run(const Flow& flow, Micros duration) {
    flows_.emplace_back(flow, duration);
    began_at_ = loop_.now();
    schedule_request(flows_.size() - 1);
}

void Clients::schedule_request(std::size_t flow_index) {
    const auto& [flow, duration] = flows_[flow_index];
    const Micros elapsed = loop_.now() - began_at_;
    if (elapsed >= duration) return;
    const bool in_burst =
        flow.burst_rate > 0 && elapsed >= flow.burst_from && elapsed < flow.burst_until;
    const double rate = in_burst ? flow.burst_rate : flow.rate;
    std::exponential_distribution<double> interarrival(std::max(rate, 1e-3));
    const Micros wait(static_cast<std::int64_t>(std::min(interarrival(random_), 2.0) * 1e6));
    loop_.after(wait, [this, flow_index, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        // No request is sent after the duration, as the scenario may have ended by then.
        if (loop_.now() - began_at_ >= flows_[flow_index].second) return;
        const std::string id = make_id();
        send({flows_[flow_index].first, id, "op-" + id, 0});
        schedule_request(flow_index);
    });
}

Clients::Connection* Clients::acquire_connection(int gateway, int port) {
    auto& idle = idle_[port];
    if (!idle.empty()) {
        in_use_.push_back(std::move(idle.back()));
        idle.pop_back();
        in_use_.back()->gateway = gateway;
        return in_use_.back().get();
    }
    int error = 0;
    event::Fd fd = event::connect_to("127.0.0.1", port, false, error);
    if (!fd) return nullptr;
    in_use_.push_back(std::make_unique<Connection>(*this, gateway, port, std::move(fd)));
    return in_use_.back().get();
}

void Clients::send_one(const Flow& flow, int gateway) {
    const std::string id = make_id();
    send({flow, id, "op-" + id, 0}, gateway);
}

void Clients::send(Request request) {
    const auto gateway_count = static_cast<std::uint64_t>(gateway_ports_().size());
    send(std::move(request), static_cast<int>(random_() % gateway_count));
}

void Clients::send(Request request, int gateway) {
    const std::vector<int> ports = gateway_ports_();
    const Flow& flow = request.flow;
    records_.add(loop_.now(), "client", "sent",
                 {{"id", request.id},
                  {"op", request.operation},
                  {"gateway", gateway},
                  {"account", flow.account},
                  {"units", flow.units},
                  {"effect", flow.effect},
                  {"method", flow.method},
                  {"target", flow.target},
                  {"retry", request.retry},
                  {"deadline_us", flow.deadline.count()}});
    ++in_flight_;
    const int port = ports[static_cast<std::size_t>(gateway)];
    Connection* connection = port > 0 ? acquire_connection(gateway, port) : nullptr;
    if (!connection) {
        records_.add(loop_.now(), "client", "unreached",
                     {{"id", request.id}, {"gateway", gateway}});
        return on_request_ended(request, 0, Micros(0), false);
    }
    std::string bytes = fmt::format(
        "{} {} HTTP/1.1\r\nHost: birds\r\n{}: {}\r\nX-Request-Id: {}\r\nX-Op: {}\r\nX-Effect: "
        "{}\r\nX-Units: "
        "{:g}\r\n"
        "X-Deadline-Ms: {}\r\n",
        flow.method, flow.target, flow.key_header, flow.key, request.id, request.operation,
        flow.effect, flow.units, flow.deadline.count() / 1000);
    if (flow.effect == "keyed") bytes += "Idempotency-Key: " + request.operation + "\r\n";
    if (flow.method != "GET" && flow.method != "HEAD")
        bytes += fmt::format("Content-Length: {}\r\n", flow.body_size);
    bytes += "\r\n" + (flow.method == "GET" || flow.method == "HEAD"
                           ? std::string()
                           : std::string(static_cast<std::size_t>(flow.body_size), 'x'));
    connection->start(std::move(request), bytes);
}

// A client retries a request if the response states that a retry does no harm. It retries a safe
// request after any failure.
void Clients::on_request_ended(const Request& request, int status, Micros retry_after,
                               bool may_retry_safely) {
    --in_flight_;
    if (status >= 200 && status < 400) return;
    if (request.retry >= request.flow.retries ||
        !(may_retry_safely || request.flow.effect == "safe"))
        return;
    Request retry_request = request;
    ++retry_request.retry;
    retry_request.id = make_id();
    const Micros wait = std::clamp(retry_after, Micros(20'000), Micros(1'000'000));
    loop_.after(wait, [this, retry_request, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) send(retry_request);
    });
}

void Clients::release(Connection& connection, bool reuse) {
    for (auto* list : {&in_use_, &idle_[connection.port]}) {
        const auto it = std::find_if(list->begin(), list->end(), [&](const auto& candidate) {
            return candidate.get() == &connection;
        });
        if (it == list->end()) continue;
        auto released = std::move(*it);
        list->erase(it);
        if (reuse) return idle_[connection.port].push_back(std::move(released));
        deferred_deletion_.schedule(std::move(released));
        return;
    }
}

}  // namespace silverreach::fakes

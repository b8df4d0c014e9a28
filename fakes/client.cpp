#include "fakes/client.h"

#include <fmt/format.h>

#include <algorithm>

namespace silverreach::fakes {
namespace {
constexpr Micros patience_after =
    std::chrono::milliseconds(200);  // a late answer is still recorded, as late
}

struct Clients::Connection : event::StreamOwner, http::Parser::Events {
    Connection(Clients& c, int g, int p, event::Fd fd)
        : clients(c),
          gateway(g),
          port(p),
          stream(c.loop_, std::move(fd), *this, true),
          parser(http::Parser::Kind::response, *this) {}

    void begin(Try t, const std::string& bytes) {
        now = std::move(t);
        busy = true, head_seen = false, status = 0, reason.clear(), retry_after = Micros(0);
        sent = clients.loop_.now();
        ++turn;
        parser.reset();
        parser.set_response_to_head(now.flow.method == "HEAD");
        stream.write(bytes);
        clients.loop_.after(now.flow.deadline + patience_after,
                            [this, at = turn, alive = std::weak_ptr<bool>(alive)] {
                                if (!alive.expired() && at == turn && busy) end("gave_up", false);
                            });
    }
    void on_data(std::string_view bytes) override {
        if (!busy) {
            record("extra", {{"bytes", bytes.size()}});
            return end("", false);
        }
        const std::size_t taken = parser.feed(bytes);
        if (!busy || !parser.done()) return;
        const bool extra = taken < bytes.size();
        if (extra) record("extra", {{"bytes", bytes.size() - taken}});
        end("answer", keep && !extra);
    }
    void on_end() override { busy ? end("broken", false) : end("", false); }
    void on_error(int) override { busy ? end("broken", false) : end("", false); }
    bool on_head(http::Head& h) override {
        head_seen = true, status = h.status, keep = h.keep_alive;
        if (const auto* ms = http::find(h.fields, "Retry-After-Ms"))
            retry_after = std::chrono::milliseconds(std::atoll(ms->c_str()));
        return true;
    }
    void on_body(std::string_view bytes) override {
        if (reason.size() < 1024) reason.append(bytes);
    }
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override { busy ? end("broken", false) : end("", false); }

    void record(const char* what, nlohmann::json fields) {
        fields["id"] = now.id, fields["gateway"] = gateway;
        clients.records_.add(clients.loop_.now(), "client", what, std::move(fields));
    }
    void end(const char* what, bool reuse) {
        const bool was = std::exchange(busy, false);
        ++turn;
        if (!reuse) stream.close();
        bool harmless = false;
        if (was) {
            std::string why;
            if (status >= 400) {
                const auto problem = nlohmann::json::parse(reason, nullptr, false);
                why = problem.is_object() ? problem.value("type", "") : "";
                why = why.substr(why.rfind(':') + 1);
                harmless = why != "no-time" && why != "bad-answer" && !why.empty();
            }
            record(what, {{"status", status}, {"reason", why}, {"head_seen", head_seen}});
        }
        const Try t = now;
        const int got = status;
        const Micros wait = retry_after;
        const bool answered = std::string_view(what) == "answer";
        Clients& all = clients;
        all.over(*this, reuse);
        if (was) all.ended(t, answered ? got : 0, wait, harmless);
    }

    Clients& clients;
    int gateway, port;
    event::Stream stream;
    http::Parser parser;
    Try now;
    Micros sent{0}, retry_after{0};
    std::string reason;
    int status = 0;
    std::uint64_t turn = 0;
    bool busy = false, keep = true, head_seen = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Clients::Clients(event::Loop& loop, std::uint64_t seed, Recorder& records,
                 std::function<std::vector<int>()> gateways)
    : loop_(loop),
      random_(seed),
      records_(records),
      gateways_(std::move(gateways)),
      begin_(loop.now()),
      deferred_deletion_(loop) {}
Clients::~Clients() {
    alive_.reset();
}

std::string Clients::make_id() {
    return fmt::format("t{}-{:08x}", next_++, random_() & 0xFFFFFFFF);
}

void Clients::run(const Flow& flow, Micros until) {
    flows_.emplace_back(flow, until);
    begin_ = loop_.now();
    arrive(flows_.size() - 1);
}

void Clients::arrive(std::size_t i) {
    const auto& [flow, until] = flows_[i];
    const Micros since = loop_.now() - begin_;
    if (since >= until) return;
    const bool burst = flow.burst_rate > 0 && since >= flow.burst_from && since < flow.burst_until;
    const double rate = burst ? flow.burst_rate : flow.rate;
    std::exponential_distribution<double> gap(std::max(rate, 1e-3));
    const Micros wait(static_cast<std::int64_t>(std::min(gap(random_), 2.0) * 1e6));
    loop_.after(wait, [this, i, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        // Nothing is sent after the end: the scenario may have stopped recording.
        if (loop_.now() - begin_ >= flows_[i].second) return;
        const std::string id = make_id();
        send({flows_[i].first, id, "op-" + id, 0});
        arrive(i);
    });
}

Clients::Connection* Clients::connection(int gateway, int port) {
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

void Clients::ask(const Flow& flow, int gateway) {
    const std::string id = make_id();
    send({flow, id, "op-" + id, 0}, gateway);
}

void Clients::send(Try t) {
    const auto gateways = static_cast<std::uint64_t>(gateways_().size());
    send(std::move(t), static_cast<int>(random_() % gateways));
}

void Clients::send(Try t, int gateway) {
    const std::vector<int> ports = gateways_();
    const Flow& f = t.flow;
    records_.add(loop_.now(), "client", "sent",
                 {{"id", t.id},
                  {"op", t.op},
                  {"gateway", gateway},
                  {"account", f.account},
                  {"units", f.units},
                  {"effect", f.effect},
                  {"method", f.method},
                  {"target", f.target},
                  {"retry", t.retry},
                  {"deadline_us", f.deadline.count()}});
    ++waiting_;
    const int port = ports[static_cast<std::size_t>(gateway)];
    Connection* c = port > 0 ? connection(gateway, port) : nullptr;
    if (!c) {
        records_.add(loop_.now(), "client", "unreached", {{"id", t.id}, {"gateway", gateway}});
        return ended(t, 0, Micros(0), false);
    }
    std::string bytes = fmt::format(
        "{} {} HTTP/1.1\r\nHost: birds\r\n{}: {}\r\nX-Request-Id: {}\r\nX-Op: {}\r\nX-Effect: "
        "{}\r\nX-Units: "
        "{:g}\r\n"
        "X-Deadline-Ms: {}\r\n",
        f.method, f.target, f.key_header, f.key, t.id, t.op, f.effect, f.units,
        f.deadline.count() / 1000);
    if (f.effect == "keyed") bytes += "Idempotency-Key: " + t.op + "\r\n";
    if (f.method != "GET" && f.method != "HEAD")
        bytes += fmt::format("Content-Length: {}\r\n", f.body);
    bytes += "\r\n" + (f.method == "GET" || f.method == "HEAD"
                           ? std::string()
                           : std::string(static_cast<std::size_t>(f.body), 'x'));
    c->begin(std::move(t), bytes);
}

// A client tries again where an answer says that it is harmless, and safe requests whatever
// happened.
void Clients::ended(const Try& t, int status, Micros retry_after, bool harmless) {
    --waiting_;
    if (status >= 200 && status < 400) return;
    if (t.retry >= t.flow.retries || !(harmless || t.flow.effect == "safe")) return;
    Try again = t;
    ++again.retry;
    again.id = make_id();
    const Micros wait = std::clamp(retry_after, Micros(20'000), Micros(1'000'000));
    loop_.after(wait, [this, again, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) send(again);
    });
}

void Clients::over(Connection& c, bool reuse) {
    for (auto* list : {&in_use_, &idle_[c.port]}) {
        const auto it =
            std::find_if(list->begin(), list->end(), [&](const auto& x) { return x.get() == &c; });
        if (it == list->end()) continue;
        auto owned = std::move(*it);
        list->erase(it);
        if (reuse) return idle_[c.port].push_back(std::move(owned));
        deferred_deletion_.schedule(std::move(owned));
        return;
    }
}

}  // namespace silverreach::fakes

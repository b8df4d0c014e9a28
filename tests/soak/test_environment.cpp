#include "tests/soak/test_environment.h"

#include <fcntl.h>
#include <sys/wait.h>

#include <algorithm>
#include <deque>

namespace soak {
namespace {
using namespace std::chrono_literals;
constexpr Micros ready_timeout = 10s, lag_period = 5ms, lag_window = 500ms,
                 min_lag_allowance = 20ms;
constexpr Micros close_race_window =
    100ms;  // time in which a request may have been written while the gateway closed its connection

std::string hex(std::uint64_t value) {
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}
std::string serialize_command(const std::vector<std::string>& arguments) {
    std::string text;
    resp::append_array(text, arguments.size());
    for (const std::string& word : arguments)
        resp::append_bulk(text, word);
    return text;
}
std::int64_t list_value(const std::string& fields, const std::string& name) {
    const std::string text = "," + fields;
    const std::size_t at = text.find("," + name + "=");
    return at == std::string::npos ? -1 : std::stoll(text.substr(at + name.size() + 2));
}
std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
}  // namespace

// ---- hosts

struct Host::Connection : event::StreamOwner {
    Host& host;
    int gateway;
    event::Stream stream;
    std::string received;
    std::uint64_t current_request = 0;
    bool is_closed = false;
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
    Connection(Host& owner, event::Fd fd, int gateway_number)
        : host(owner),
          gateway(gateway_number),
          stream(owner.environment_.loop, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        received.append(bytes);
        resp::CommandParser parser;
        while (!is_closed && parser.parse(received) == resp::ParseStatus::complete) {
            std::vector<std::string> arguments;
            for (std::size_t i = 0; i < parser.argument_count(); ++i)
                arguments.emplace_back(parser.argument(received, i));
            received.erase(0, parser.consumed());
            parser.reset();
            host.command(*this, arguments);
        }
    }
    void on_end() override { close(false); }
    void on_error(int) override { close(false); }
    void finish_work(bool may_have_run) {
        if (current_request != 0)
            host.environment_.checker.on_attempt_ended(std::exchange(current_request, 0),
                                                       host.uid(), may_have_run);
    }
    void close(bool with_reset) {
        if (std::exchange(is_closed, true)) return;
        finish_work(true);
        if (with_reset)
            stream.reset();
        else
            stream.close();
    }
};

Host::Host(TestEnvironment& environment, int number) : environment_(environment), number_(number) {
    for (int g = 0; g < environment.size.gateways; ++g)
        listeners_.push_back(std::make_unique<event::Listener>(
            environment.loop, "127.0.0.1", 0, false, [] { return true; },
            [this, g](event::Fd fd, const std::string&) { on_accepted(std::move(fd), g); }));
}
Host::~Host() = default;
std::string Host::uid() const {
    return "s-" + std::to_string(number_);
}

void Host::on_accepted(event::Fd fd, int gateway) {
    std::erase_if(connections_, [](const auto& connection) { return connection->is_closed; });
    connections_.push_back(std::make_unique<Connection>(*this, std::move(fd), gateway));
    if (!is_up_) connections_.back()->close(true);
}

void Host::command(Connection& connection, const std::vector<std::string>& arguments) {
    if (arguments[0] == "PING") return connection.stream.write("+PONG\r\n");
    if (arguments[0] == "INFO") return connection.stream.write("$17\r\ninflight=1,queue=\r\n");
    const Micros now = environment_.now();
    if (arguments.size() < 4)
        return environment_.checker.add_violation(now, ViolationKind::malformed,
                                                  "a command with too few arguments");
    environment_.update_observer_lag();
    const std::uint64_t id = std::stoull(arguments[2], nullptr, 16);
    // A cancellation that is still unread on another connection was sent before this request.
    auto& checks = environment_.disconnect_checks[id];
    for (const auto& check : checks)
        check();
    environment_.checker.on_attempt(now, id, uid(), cell(), list_value(arguments[3], "d"));
    environment_.checker.on_gateway_attempt(
        now, environment_.gateways[static_cast<std::size_t>(connection.gateway)].name, uid());
    connection.current_request = id;
    checks.push_back([&connection, weak_alive = std::weak_ptr<bool>(connection.alive_token)] {
        if (!weak_alive.expired() && !connection.is_closed && connection.stream.peer_closed())
            connection.close(false);
    });
    const Micros service_time = std::chrono::milliseconds(3 + environment_.random_below(40));
    environment_.loop.after(
        service_time,
        [this, &connection, id, weak_alive = std::weak_ptr<bool>(connection.alive_token)] {
            if (!weak_alive.expired() && !connection.is_closed && connection.current_request == id)
                respond(connection, id);
        });
}

void Host::respond(Connection& connection, std::uint64_t id) {
    std::string value;
    resp::append_array(value, 3);
    resp::append_bulk(value, "for " + std::to_string(id));
    value += "$-1\r\n$-1\r\n";
    switch (mode_) {
        case HostMode::hang:
            return;
        case HostMode::reset_connection:
            connection.stream.write(value.substr(0, value.size() / 2));
            return connection.close(true);
        case HostMode::error:
            connection.finish_work(true);
            return connection.stream.write("-ERR failed\r\n");
        case HostMode::busy:
            connection.finish_work(false);
            return connection.stream.write("-BUSY\r\n");
        case HostMode::malformed:
            connection.finish_work(true);
            return connection.stream.write("*3\r\n$x\r\n");
        case HostMode::normal:
            break;
    }
    connection.finish_work(true);
    connection.stream.write(value);
}

void Host::crash() {
    is_up_ = false;
    for (const auto& connection : connections_)
        connection->close(true);
    environment_.checker.on_host_stopped(uid());
}
void Host::start() {
    is_up_ = true;
    mode_ = HostMode::normal;
    boot_ms = unix_ms();
    environment_.checker.on_host_started(environment_.now(), uid());
}
void Host::reset_half() {
    for (std::size_t i = 0; i < connections_.size(); i += 2)
        connections_[i]->close(true);
}

// ---- discovery

struct DiscoveryServer::Watch : event::StreamOwner {
    DiscoveryServer& discovery;
    event::Stream stream;
    std::string received;
    bool request_received = false, is_responding = false, is_closed = false;
    bool is_silent = false;  // sends nothing more, even if the mode changes
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
    Watch(DiscoveryServer& discovery_server, event::Fd fd)
        : discovery(discovery_server),
          stream(discovery_server.environment_.loop, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        received.append(bytes);
        if (request_received || received.find("\r\n\r\n") == std::string::npos) return;
        request_received = true;
        const Micros delay = discovery.mode_ == DiscoveryMode::slow ? 1500ms : 0ms;
        discovery.environment_.loop.after(
            delay, [this, weak_alive = std::weak_ptr<bool>(alive_token)] {
                if (weak_alive.expired() || is_closed || is_silent) return;
                is_responding = true;
                stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                discovery.send_list(*this, true);
            });
    }
    void on_end() override { is_closed = true, stream.close(); }
    void on_error(int) override { is_closed = true; }
    void send_chunk(const std::string& line) {
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", line.size());
        stream.write(size + line + "\r\n");
    }
};

DiscoveryServer::DiscoveryServer(TestEnvironment& environment, int gateway)
    : environment_(environment), gateway_(gateway) {
    listener_ = std::make_unique<event::Listener>(
        environment.loop, "127.0.0.1", 0, false, [] { return true; },
        [this](event::Fd fd, const std::string&) { on_accepted(std::move(fd)); });
    send_heartbeat();
}
DiscoveryServer::~DiscoveryServer() = default;

void DiscoveryServer::on_accepted(event::Fd fd) {
    std::erase_if(watches_, [](const auto& watch) { return watch->is_closed; });
    if (mode_ == DiscoveryMode::refuse) return;
    watches_.push_back(std::make_unique<Watch>(*this, std::move(fd)));
    watches_.back()->is_silent = mode_ == DiscoveryMode::silent;
}

void DiscoveryServer::set_mode(DiscoveryMode mode) {
    mode_ = mode;
    if (mode == DiscoveryMode::silent)
        for (const auto& watch : watches_)
            watch->is_silent = true;
    if (mode == DiscoveryMode::refuse) close_watches();
}
void DiscoveryServer::close_watches() {
    for (const auto& watch : watches_)
        if (!std::exchange(watch->is_closed, true)) watch->stream.close();
}
void DiscoveryServer::send_changes() {
    for (const auto& watch : watches_)
        if (watch->is_responding && !watch->is_closed && !watch->is_silent)
            send_list(*watch, false);
}

// Sends the complete list, or half of it followed by the end of the stream.
void DiscoveryServer::send_list(Watch& watch, bool is_first) {
    const Gateway& gateway = environment_.gateways[static_cast<std::size_t>(gateway_)];
    const std::string list = R"({"rev":)" + std::to_string(environment_.revision) +
                             R"(,"all":true,"targets":[)" + environment_.targets(gateway_) + "]}\n";
    if (mode_ == DiscoveryMode::truncated && !is_first) {
        watch.send_chunk(list.substr(0, list.size() / 2));
        watch.is_closed = true;
        return watch.stream.end();
    }
    watch.send_chunk(list);
    for (const auto& host : environment_.hosts) {
        const int number = static_cast<int>(&host - environment_.hosts.data());
        if (environment_.draining_hosts.contains(number) ||
            environment_.removed_hosts.contains(number))
            environment_.checker.on_drain_announced(environment_.now(), gateway.name, host->uid());
        else
            environment_.checker.on_ready_announced(gateway.name, host->uid());
    }
}
void DiscoveryServer::send_heartbeat() {
    for (const auto& watch : watches_)
        if (watch->is_responding && !watch->is_closed && !watch->is_silent) watch->send_chunk("\n");
    environment_.loop.after(1900ms, [this] { send_heartbeat(); });
}

// ---- clients

class TestEnvironment::Client : public event::StreamOwner {
  public:
    Client(TestEnvironment& environment, int gateway)
        : environment_(environment), home_gateway_(gateway), current_gateway_(gateway) {
        schedule(0us);
    }

    void on_data(std::string_view bytes) override {
        received_.append(bytes);
        while (!received_.empty() &&
               reply_parser_.parse(received_) == resp::ParseStatus::complete) {
            const std::size_t size = reply_parser_.consumed();
            const resp::Reply reply = reply_parser_.take();
            received_.erase(0, size);
            reply_parser_.reset();
            if (open_requests_.empty()) {
                environment_.checker.add_violation(environment_.now(),
                                                   ViolationKind::unexpected_answer,
                                                   "an answer without a request");
                continue;
            }
            environment_.update_observer_lag();
            environment_.checker.on_answer(environment_.now(), open_requests_.front().id,
                                           reply.type == resp::ReplyType::bulk_string, reply.text,
                                           last_answer_at_);
            last_answer_at_ = environment_.now();
            open_requests_.pop_front();
        }
    }
    void on_end() override { on_connection_ended(); }
    void on_error(int) override { on_connection_ended(); }

  private:
    struct OpenRequest {
        std::uint64_t id;
        Micros written_at;
        std::string bytes;
    };
    void schedule(Micros delay) {
        environment_.loop.after(delay, [this] { send_requests(); });
    }
    // Sends one request or a pipelined burst, and sometimes disconnects without awaiting the
    // answers.
    void send_requests() {
        if (environment_.clients_stopped_) return;
        schedule(std::chrono::milliseconds(20 + environment_.random_below(200)));
        if (!stream_ || stream_->closed()) return connect();
        if (open_requests_.size() > 20) return;
        const double burst_draw = environment_.uniform();
        const int burst = burst_draw < 0.005  ? 400
                          : burst_draw < 0.03 ? 100
                          : burst_draw < 0.2  ? 5
                                              : 1;
        std::string bytes;
        for (int i = 0; i < burst; ++i)
            bytes += request();
        stream_->write(bytes);
        if (environment_.uniform() < 0.02) disconnect();
    }
    void connect() {
        // The client's own gateway if it is ready, else the next one that is.
        current_gateway_ = home_gateway_;
        for (int i = 0; i < environment_.size.gateways && !environment_.gateways[index()].is_ready;
             ++i)
            current_gateway_ = (current_gateway_ + 1) % environment_.size.gateways;
        if (!environment_.gateways[index()].is_ready) return;
        int error = 0;
        event::Fd fd =
            event::connect_to(test_support::own_address(),
                              environment_.gateways[index()].process->port(), false, error);
        if (!fd) return;
        received_.clear();
        reply_parser_ = resp::ReplyParser();
        stream_ = std::make_unique<event::Stream>(environment_.loop, std::move(fd), *this, true);
        gateway_start_count_ = environment_.gateways[index()].start_count;
        for (OpenRequest& request : open_requests_) {  // resent, as the close overtook them
            request.written_at = environment_.now();
            stream_->write(request.bytes);
        }
    }
    std::string request() {
        const std::uint64_t id = environment_.next_id();
        const double effect_draw = environment_.uniform();
        const Effect effect = effect_draw < 0.6    ? Effect::safe
                              : effect_draw < 0.85 ? Effect::keyed
                                                   : Effect::unsafe;
        const bool is_capped = environment_.uniform() < 0.1;
        const int deadline_ms = environment_.uniform() < 0.1 ? 200 : 1500;
        std::string fields =
            "c=" +
            std::string(effect == Effect::safe    ? "lookup"
                        : effect == Effect::keyed ? "order"
                                                  : "charge") +
            ",t=" + (is_capped ? "capped" : "team") + ",d=" + std::to_string(deadline_ms) +
            (effect == Effect::keyed ? ",k=" + hex(id) : "") +
            ",units=1,spread=" + std::to_string(environment_.size.gateways) + ",first=0";
        std::vector<std::string> arguments{
            effect == Effect::safe ? "SVC.QUERY" : "SVC.SUBMIT",
            hex(is_capped ? 7 : 100 + static_cast<std::uint64_t>(environment_.random_below(40))),
            hex(id), fields};
        if (effect != Effect::safe) arguments.emplace_back("SHEET");
        const std::string bytes = serialize_command(arguments);
        environment_.checker.on_request_sent(environment_.now(), id, effect,
                                             std::chrono::milliseconds(deadline_ms), is_capped);
        open_requests_.push_back({id, environment_.now(), bytes});
        return bytes;
    }
    void disconnect() {
        const Micros now = environment_.now();
        for (const OpenRequest& request : open_requests_)
            environment_.checker.on_client_closed(now, request.id);
        open_requests_.clear();
        if (environment_.uniform() < 0.5)
            stream_->reset();
        else
            stream_->close();
    }
    // Requests that the gateway accepted count as lost, unless it was killed. Requests that were
    // written while it closed the connection are resent.
    void on_connection_ended() {
        stream_->close();
        const Gateway& gateway = environment_.gateways[index()];
        const Micros now = environment_.now();
        const bool was_killed = gateway.start_count != gateway_start_count_ ||
                                (gateway.is_expected_down &&
                                 (gateway.terminated_at == 0us || gateway.process->exit_status()));
        std::deque<OpenRequest> to_resend;
        for (OpenRequest& request : open_requests_) {
            const bool was_received = environment_.checker.has_attempts(request.id);
            if (was_killed && gateway.terminated_at == 0us)
                environment_.checker.excuse(request.id);
            else if (was_killed && request.written_at > gateway.terminated_at + 700ms)
                environment_.checker.excuse(request.id);
            else if (!was_received && now - request.written_at < close_race_window &&
                     !request.bytes.empty())
                to_resend.push_back({request.id, request.written_at, std::move(request.bytes)});
            else
                environment_.checker.on_connection_dropped(now, request.id, gateway.name);
        }
        open_requests_ = std::move(to_resend);
        if (!open_requests_.empty())
            environment_.loop.after(0us, [this] {
                if (stream_->closed()) connect();
            });
    }
    std::size_t index() const { return static_cast<std::size_t>(current_gateway_); }

    TestEnvironment& environment_;
    int home_gateway_, current_gateway_, gateway_start_count_ = 0;
    std::unique_ptr<event::Stream> stream_;
    std::deque<OpenRequest> open_requests_;
    std::string received_;
    resp::ReplyParser reply_parser_;
    Micros last_answer_at_{0};  // time of the latest answer
};

// ---- test environment

TestEnvironment::TestEnvironment(event::Loop& event_loop, EnvironmentSize environment_size,
                                 std::uint64_t seed, GuaranteeChecker& guarantee_checker)
    : loop(event_loop),
      size(environment_size),
      checker(guarantee_checker),
      random(seed),
      lag_(lag_period, lag_window) {
    int pipe_fds[2];
    if (::pipe2(pipe_fds, O_CLOEXEC) != 0) throw std::runtime_error("soak: cannot create a pipe");
    full_pipe_read_end_ = event::Fd(pipe_fds[0]), full_pipe_write_end_ = event::Fd(pipe_fds[1]);
    ::fcntl(pipe_fds[1], F_SETFL, O_NONBLOCK);
    const std::string filler(4096, '.');
    while (::write(pipe_fds[1], filler.data(), filler.size()) > 0) {
    }
    ::fcntl(pipe_fds[1], F_SETFL, 0);
    gateways.resize(static_cast<std::size_t>(size.gateways));
    for (int h = 0; h < size.hosts; ++h)
        hosts.push_back(std::make_unique<Host>(*this, h));
    for (int g = 0; g < size.gateways; ++g) {
        Gateway& gateway = gateways[static_cast<std::size_t>(g)];
        gateway.name = "n" + std::to_string(g);
        gateway.discovery = std::make_unique<DiscoveryServer>(*this, g);
        gateway.alternate_discovery = std::make_unique<DiscoveryServer>(*this, g);
    }
    for (int g = 0; g < size.gateways; ++g) {
        Gateway& gateway = gateways[static_cast<std::size_t>(g)];
        gateway.process = std::make_unique<NodeProcess>("127.0.0.1:0");
    }
    for (int g = 0; g < size.gateways; ++g)
        start_gateway(g);
    for (int g = 0; g < size.gateways; ++g)
        for (int c = 0; c < size.clients_per_gateway; ++c)
            clients_.push_back(std::make_unique<Client>(*this, g));
    watch_processes();
    measure_lag();
}
TestEnvironment::~TestEnvironment() = default;
void TestEnvironment::stop_clients() {
    clients_stopped_ = true;
}

void TestEnvironment::save_logs(const std::string& directory) const {
    for (const Gateway& gateway : gateways)
        std::ofstream(directory + "/" + gateway.name) << gateway.process->log();
}

std::string TestEnvironment::targets(int gateway) const {
    std::string text;
    for (std::size_t h = 0; h < hosts.size(); ++h) {
        if (removed_hosts.contains(static_cast<int>(h))) continue;
        const Host& host = *hosts[h];
        text += std::string(text.empty() ? "" : ",") + R"({"uid":")" + host.uid() +
                R"(","endpoint":"127.0.0.1:)" + std::to_string(host.port(gateway)) +
                R"(","az":"a","model":"m","pod_group":)" + std::to_string(host.cell()) +
                R"(,"state":")" +
                (draining_hosts.contains(static_cast<int>(h)) ? "draining" : "ready") +
                R"(","capacity_hint":1,"boot_ms":)" + std::to_string(host.boot_ms) + "}";
    }
    return text;
}

std::string TestEnvironment::config(int number) const {
    const Gateway& gateway = gateways[static_cast<std::size_t>(number)];
    std::string peers;
    for (const Gateway& peer : gateways)
        peers += std::string(peers.empty() ? "" : ",") + "\"" + test_support::own_address() + ":" +
                 std::to_string(peer.process->port()) + "\"";
    const DiscoveryServer& discovery =
        gateway.uses_alternate ? *gateway.alternate_discovery : *gateway.discovery;
    return R"({"name":")" + gateway.name + R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" +
           std::to_string(discovery.port()) + R"(","seed":"8c1f30d27a5be9)" +
           hex(static_cast<std::uint64_t>(gateway.start_count * 100 + number)).substr(14) +
           R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":512},"peer_listen":")" +
           test_support::own_address() + ":" + std::to_string(gateway.process->port()) +
           R"(","peers":[)" + peers + R"(],"known":{"rev":1,"all":true,"targets":[)" +
           targets(number) + R"(]},"settings":{"rank":)" + std::to_string(number) +
           R"(,"instances":)" + std::to_string(size.gateways) +
           R"(,"locality":"a","tickUs":2000,
"requestClasses":[{"name":"lookup","effect":"retryable","deadlineUs":2000000,"promiseUs":900000,"value":3},
 {"name":"order","effect":"dedup","dedupScope":"cell","deadlineUs":2000000,"promiseUs":1200000,"repeatWindowUs":1200000},
 {"name":"charge","effect":"fragile","deadlineUs":2000000,"promiseUs":900000}],
"tiersOfService":[{"name":"team","rate":400,"mostAtOnce":400},
 {"name":"capped","rate":20,"mostAtOnce":20,"hardRate":20,"hardBurst":20,"tolerance":0.1}],
"ceilings":{"cancel":true,"connIdleUs":8000000,"connectTimeoutUs":250000,"maxAttempts":4,"maxRetryAfterUs":2000000,
 "mayDuplicate":false,"peers":true,"probes":false,"retryAfter":true},
"familyInfo":{"unitsTop":4,"mailPerS":1000},"reporting":{"how":"inline","names":["backlog"]},
"guarantees":{"coldUs":6000000,"fallUs":2000000,"overloadFactor":3,"startCapacity":0.2}}})";
}

void TestEnvironment::start_gateway(int number) {
    Gateway& gateway = gateways[static_cast<std::size_t>(number)];
    ++gateway.start_count;
    gateway.is_expected_down = gateway.is_ready = false;
    gateway.terminated_at = 0us;
    gateway.started_at = now();
    gateway.has_full_log_pipe = gateway.start_count % 3 == number % 3 && number % 4 == 0;
    checker.on_gateway_restarted(gateway.name);
    gateway.process->faults.clear();
    gateway.process->configure(config(number));
    gateway.process->start(gateway.has_full_log_pipe ? full_pipe_write_end_.get() : -1);
}

void TestEnvironment::update_list() {
    ++revision;
    for (Gateway& gateway : gateways)
        gateway.active_discovery().send_changes();
}

// Detects processes that become ready, do not become ready in time, or end unexpectedly. A process
// is ready if it accepts a connection.
void TestEnvironment::watch_processes() {
    for (Gateway& gateway : gateways) {
        if (!gateway.is_expected_down) {
            if (const auto status = gateway.process->exit_status()) {
                checker.add_violation(now(), ViolationKind::crash,
                                      gateway.name + " ended with status " +
                                          std::to_string(*status) + "; " +
                                          gateway.process->log().substr(0, 300));
                gateway.is_expected_down = true, gateway.is_ready = false;
            }
        }
        if (gateway.is_ready || gateway.is_expected_down) continue;
        const event::Fd probe_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, test_support::own_address().c_str(), &address.sin_addr);
        address.sin_port = htons(static_cast<std::uint16_t>(gateway.process->port()));
        if (::connect(probe_fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            gateway.is_ready = true;
        else if (now() - gateway.started_at > ready_timeout) {
            checker.add_violation(
                now(), ViolationKind::not_ready,
                gateway.name + (gateway.has_full_log_pipe ? ", its log pipe is full" : ""));
            gateway.is_expected_down = true;
        }
    }
    loop.after(30ms, [this] { watch_processes(); });
}

void TestEnvironment::update_observer_lag() {
    checker.set_observer_lag(min_lag_allowance + lag_.longest(now()));
}

void TestEnvironment::measure_lag() {
    lag_.on_probe(now());
    loop.after(lag_period, [this] { measure_lag(); });
}

}  // namespace soak

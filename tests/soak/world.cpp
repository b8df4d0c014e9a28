#include "tests/soak/world.h"

#include <fcntl.h>
#include <sys/wait.h>

#include <algorithm>

namespace soak {
namespace {
using namespace std::chrono_literals;
constexpr Micros ready_most = 10s, lag_period = 5ms, lag_memory = 500ms, lag_least = 20ms;
constexpr Micros crossing =
    100ms;  // a request may have been written while its connection was being ended

std::string hex(std::uint64_t n) {
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}
std::string command(const std::vector<std::string>& words) {
    std::string out;
    resp::append_array(out, words.size());
    for (const std::string& word : words)
        resp::append_bulk(out, word);
    return out;
}
std::int64_t figure(const std::string& list, const std::string& name) {
    const std::string text = "," + list;
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
// -----------------------------------------------------------------------------------------------

struct Host::Peer : event::StreamOwner {
    Host& host;
    int gateway;
    event::Stream stream;
    std::string got;
    std::uint64_t working_on = 0;
    bool over = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    Peer(Host& h, event::Fd fd, int g)
        : host(h), gateway(g), stream(h.world_.loop, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        got.append(bytes);
        resp::CommandParser reader;
        while (!over && reader.parse(got) == resp::ParseStatus::complete) {
            std::vector<std::string> words;
            for (std::size_t i = 0; i < reader.argument_count(); ++i)
                words.emplace_back(reader.argument(got, i));
            got.erase(0, reader.consumed());
            reader.reset();
            host.command(*this, words);
        }
    }
    void on_end() override { end(false); }
    void on_broken(int) override { end(false); }
    void work_over(bool ran) {
        if (working_on != 0)
            host.world_.ledger.attempt_over(std::exchange(working_on, 0), host.uid(), ran);
    }
    void end(bool by_reset) {
        if (std::exchange(over, true)) return;
        work_over(true);
        if (by_reset)
            stream.reset();
        else
            stream.close();
    }
};

Host::Host(World& world, int number) : world_(world), number_(number) {
    for (int g = 0; g < world.size.gateways; ++g)
        listeners_.push_back(std::make_unique<event::Listener>(
            world.loop, "127.0.0.1", 0, false, [] { return true; },
            [this, g](event::Fd fd, const std::string&) { accepted(std::move(fd), g); }));
}
Host::~Host() = default;
std::string Host::uid() const {
    return "s-" + std::to_string(number_);
}

void Host::accepted(event::Fd fd, int gateway) {
    std::erase_if(peers_, [](const auto& peer) { return peer->over; });
    peers_.push_back(std::make_unique<Peer>(*this, std::move(fd), gateway));
    if (!up_) peers_.back()->end(true);
}

void Host::command(Peer& peer, const std::vector<std::string>& words) {
    if (words[0] == "PING") return peer.stream.write("+PONG\r\n");
    if (words[0] == "INFO") return peer.stream.write("$17\r\ninflight=1,queue=\r\n");
    const Micros now = world_.now();
    if (words.size() < 4)
        return world_.ledger.violation(now, Breach::malformed, "a command of few words");
    const std::uint64_t id = std::stoull(words[2], nullptr, 16);
    // A cancel that lies in its socket comes before what was sent after it.
    auto& others = world_.at_hosts[id];
    for (const auto& look : others)
        look();
    world_.ledger.attempt(now, id, uid(), cell(), figure(words[3], "d"));
    world_.ledger.attempt_by(now, world_.gateways[static_cast<std::size_t>(peer.gateway)].name,
                             uid());
    peer.working_on = id;
    others.push_back([&peer, alive = std::weak_ptr<bool>(peer.alive)] {
        if (!alive.expired() && !peer.over && peer.stream.peer_closed()) peer.end(false);
    });
    const Micros service = std::chrono::milliseconds(3 + world_.below(40));
    world_.loop.after(service, [this, &peer, id, alive = std::weak_ptr<bool>(peer.alive)] {
        if (!alive.expired() && !peer.over && peer.working_on == id) respond(peer, id);
    });
}

void Host::respond(Peer& peer, std::uint64_t id) {
    std::string value;
    resp::append_array(value, 3);
    resp::append_bulk(value, "for " + std::to_string(id));
    value += "$-1\r\n$-1\r\n";
    switch (mode_) {
        case HostMode::hangs:
            return;
        case HostMode::resets:
            peer.stream.write(value.substr(0, value.size() / 2));
            return peer.end(true);
        case HostMode::fails:
            peer.work_over(true);
            return peer.stream.write("-ERR failed\r\n");
        case HostMode::busy:
            peer.work_over(false);
            return peer.stream.write("-BUSY\r\n");
        case HostMode::spoils:
            peer.work_over(true);
            return peer.stream.write("*3\r\n$x\r\n");
        case HostMode::well:
            break;
    }
    peer.work_over(true);
    peer.stream.write(value);
}

void Host::crash() {
    up_ = false;
    for (const auto& peer : peers_)
        peer->end(true);
    world_.ledger.host_forgotten(uid());
}
void Host::start() {
    up_ = true;
    mode_ = HostMode::well;
    boot_ms = unix_ms();
    world_.ledger.host_started(world_.now(), uid());
}
void Host::reset_some() {
    for (std::size_t i = 0; i < peers_.size(); i += 2)
        peers_[i]->end(true);
}

// ---- discovery
// -------------------------------------------------------------------------------------------

struct Directory::Watcher : event::StreamOwner {
    Directory& directory;
    event::Stream stream;
    std::string got;
    bool begun = false, answering = false, over = false;
    bool deaf = false;  // it fell silent for good
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    Watcher(Directory& d, event::Fd fd)
        : directory(d), stream(d.world_.loop, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        got.append(bytes);
        if (begun || got.find("\r\n\r\n") == std::string::npos) return;
        begun = true;
        const Micros wait = directory.mode_ == DirectoryMode::slow ? 1500ms : 0ms;
        directory.world_.loop.after(wait, [this, alive_too = std::weak_ptr<bool>(alive)] {
            if (alive_too.expired() || over || deaf) return;
            answering = true;
            stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            directory.tell(*this, true);
        });
    }
    void on_end() override { over = true, stream.close(); }
    void on_broken(int) override { over = true; }
    void say(const std::string& line) {
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", line.size());
        stream.write(size + line + "\r\n");
    }
};

Directory::Directory(World& world, int gateway) : world_(world), gateway_(gateway) {
    listener_ = std::make_unique<event::Listener>(
        world.loop, "127.0.0.1", 0, false, [] { return true; },
        [this](event::Fd fd, const std::string&) { accepted(std::move(fd)); });
    beat();
}
Directory::~Directory() = default;

void Directory::accepted(event::Fd fd) {
    std::erase_if(watchers_, [](const auto& w) { return w->over; });
    if (mode_ == DirectoryMode::refuses) return;
    watchers_.push_back(std::make_unique<Watcher>(*this, std::move(fd)));
    watchers_.back()->deaf = mode_ == DirectoryMode::silent;
}

void Directory::mode(DirectoryMode mode) {
    mode_ = mode;
    if (mode == DirectoryMode::silent)
        for (const auto& w : watchers_)
            w->deaf = true;
    if (mode == DirectoryMode::refuses) end_watches();
}
void Directory::end_watches() {
    for (const auto& w : watchers_)
        if (!std::exchange(w->over, true)) w->stream.close();
}
void Directory::tell_changes() {
    for (const auto& w : watchers_)
        if (w->answering && !w->over && !w->deaf) tell(*w, false);
}

// The whole list each time, or a torn line that is followed by the end.
void Directory::tell(Watcher& watcher, bool whole) {
    const Gateway& gateway = world_.gateways[static_cast<std::size_t>(gateway_)];
    const std::string list = R"({"rev":)" + std::to_string(world_.revision) +
                             R"(,"all":true,"targets":[)" + world_.targets(gateway_) + "]}\n";
    if (mode_ == DirectoryMode::torn && !whole) {
        watcher.say(list.substr(0, list.size() / 2));
        watcher.over = true;
        return watcher.stream.end();
    }
    watcher.say(list);
    for (const auto& host : world_.hosts) {
        const int number = static_cast<int>(&host - world_.hosts.data());
        if (world_.draining.contains(number) || world_.gone.contains(number))
            world_.ledger.told_drained(world_.now(), gateway.name, host->uid());
        else
            world_.ledger.told_ready(gateway.name, host->uid());
    }
}
void Directory::beat() {
    for (const auto& w : watchers_)
        if (w->answering && !w->over && !w->deaf) w->say("\n");
    world_.loop.after(1900ms, [this] { beat(); });
}

// ---- clients
// ---------------------------------------------------------------------------------------------

class World::Client : public event::StreamOwner {
  public:
    Client(World& world, int gateway) : world_(world), home_(gateway), gateway_(gateway) {
        again(0us);
    }

    void on_data(std::string_view bytes) override {
        got_.append(bytes);
        while (!got_.empty() && reader_.parse(got_) == resp::ParseStatus::complete) {
            const std::size_t size = reader_.consumed();
            const resp::Reply reply = reader_.take();
            got_.erase(0, size);
            reader_.reset();
            if (open_.empty()) {
                world_.ledger.violation(world_.now(), Breach::second_word,
                                        "an answer that nobody asked for");
                continue;
            }
            world_.ledger.answered(world_.now(), open_.front().id,
                                   reply.type == resp::ReplyType::bulk_string, reply.text, turn_);
            turn_ = world_.now();
            open_.pop_front();
        }
    }
    void on_end() override { ended(); }
    void on_broken(int) override { ended(); }

  private:
    struct Open {
        std::uint64_t id;
        Micros written;
        std::string bytes;
    };
    void again(Micros wait) {
        world_.loop.after(wait, [this] { act(); });
    }
    // One request, or several at once; now and then it leaves with them.
    void act() {
        if (world_.clients_stopped_) return;
        again(std::chrono::milliseconds(20 + world_.below(200)));
        if (!stream_ || stream_->closed()) return connect();
        if (open_.size() > 20) return;
        const double which = world_.uniform();
        const int burst = which < 0.005 ? 400 : which < 0.03 ? 100 : which < 0.2 ? 5 : 1;
        std::string bytes;
        for (int i = 0; i < burst; ++i)
            bytes += request();
        stream_->write(bytes);
        if (world_.uniform() < 0.02) leave();
    }
    void connect() {
        // Its own gateway while that one lives, else the next.
        gateway_ = home_;
        for (int i = 0; i < world_.size.gateways && !world_.gateways[index()].ready; ++i)
            gateway_ = (gateway_ + 1) % world_.size.gateways;
        if (!world_.gateways[index()].ready) return;
        int error = 0;
        event::Fd fd = event::connect_to(test_support::own_address(),
                                         world_.gateways[index()].process->port(), false, error);
        if (!fd) return;
        got_.clear();
        reader_ = resp::ReplyParser();
        stream_ = std::make_unique<event::Stream>(world_.loop, std::move(fd), *this, true);
        starts_ = world_.gateways[index()].starts;
        for (Open& open : open_) {  // once more, as the close crossed them
            open.written = world_.now();
            stream_->write(open.bytes);
        }
    }
    std::string request() {
        const std::uint64_t id = world_.next_id();
        const double which = world_.uniform();
        const Effect effect = which < 0.6    ? Effect::safe
                              : which < 0.85 ? Effect::keyed
                                             : Effect::unsafe;
        const bool capped = world_.uniform() < 0.1;
        const int d = world_.uniform() < 0.1 ? 200 : 1500;
        std::string list = "c=" +
                           std::string(effect == Effect::safe    ? "lookup"
                                       : effect == Effect::keyed ? "order"
                                                                 : "charge") +
                           ",t=" + (capped ? "capped" : "team") + ",d=" + std::to_string(d) +
                           (effect == Effect::keyed ? ",k=" + hex(id) : "") +
                           ",units=1,spread=" + std::to_string(world_.size.gateways) + ",first=0";
        std::vector<std::string> words{
            effect == Effect::safe ? "SVC.QUERY" : "SVC.SUBMIT",
            hex(capped ? 7 : 100 + static_cast<std::uint64_t>(world_.below(40))), hex(id), list};
        if (effect != Effect::safe) words.emplace_back("SHEET");
        const std::string bytes = command(words);
        world_.ledger.sent(world_.now(), id, effect, std::chrono::milliseconds(d), capped);
        open_.push_back({id, world_.now(), bytes});
        return bytes;
    }
    void leave() {
        const Micros now = world_.now();
        for (const Open& open : open_)
            world_.ledger.client_closed(now, open.id);
        open_.clear();
        if (world_.uniform() < 0.5)
            stream_->reset();
        else
            stream_->close();
    }
    // What the gateway had taken is lost with a live one. What crossed its close goes out once
    // more.
    void ended() {
        stream_->close();
        const Gateway& gateway = world_.gateways[index()];
        const Micros now = world_.now();
        const bool killed = gateway.starts != starts_ ||
                            (gateway.expected_down &&
                             (gateway.terminated == 0us || gateway.process->exit_status()));
        std::deque<Open> once_more;
        for (Open& open : open_) {
            const bool was_read = world_.ledger.attempted(open.id);
            if (killed && gateway.terminated == 0us)
                world_.ledger.excused(open.id);
            else if (killed && open.written > gateway.terminated + 700ms)
                world_.ledger.excused(open.id);
            else if (!was_read && now - open.written < crossing && !open.bytes.empty())
                once_more.push_back({open.id, open.written, std::move(open.bytes)});
            else
                world_.ledger.dropped(now, open.id, gateway.name);
        }
        open_ = std::move(once_more);
        if (!open_.empty())
            world_.loop.after(0us, [this] {
                if (stream_->closed()) connect();
            });
    }
    std::size_t index() const { return static_cast<std::size_t>(gateway_); }

    World& world_;
    int home_, gateway_, starts_ = 0;
    std::unique_ptr<event::Stream> stream_;
    std::deque<Open> open_;
    std::string got_;
    resp::ReplyParser reader_;
    Micros turn_{0};  // when the latest answer came
};

// ---- the world
// -------------------------------------------------------------------------------------------

World::World(event::Loop& l, Size s, std::uint64_t seed, Ledger& validator)
    : loop(l), size(s), ledger(validator), random(seed) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("soak: no pipe");
    full_pipe_read_ = event::Fd(ends[0]), full_pipe_write_ = event::Fd(ends[1]);
    ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
    const std::string page(4096, '.');
    while (::write(ends[1], page.data(), page.size()) > 0) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    gateways.resize(static_cast<std::size_t>(size.gateways));
    for (int h = 0; h < size.hosts; ++h)
        hosts.push_back(std::make_unique<Host>(*this, h));
    for (int g = 0; g < size.gateways; ++g) {
        Gateway& gateway = gateways[static_cast<std::size_t>(g)];
        gateway.name = "n" + std::to_string(g);
        gateway.directory = std::make_unique<Directory>(*this, g);
        gateway.other = std::make_unique<Directory>(*this, g);
    }
    for (int g = 0; g < size.gateways; ++g) {
        Gateway& gateway = gateways[static_cast<std::size_t>(g)];
        gateway.process = std::make_unique<NodeProcess>("127.0.0.1:0");
    }
    for (int g = 0; g < size.gateways; ++g)
        start_gateway(g);
    for (int g = 0; g < size.gateways; ++g)
        for (int c = 0; c < size.clients_each; ++c)
            clients_.push_back(std::make_unique<Client>(*this, g));
    watch_processes();
    lag_due_ = now() + lag_period;
    measure_lag();
}
World::~World() = default;
void World::stop_clients() {
    clients_stopped_ = true;
}

void World::keep_logs(const std::string& folder) const {
    for (const Gateway& gateway : gateways)
        std::ofstream(folder + "/" + gateway.name) << gateway.process->log();
}

std::string World::targets(int gateway) const {
    std::string out;
    for (std::size_t h = 0; h < hosts.size(); ++h) {
        if (gone.contains(static_cast<int>(h))) continue;
        const Host& host = *hosts[h];
        out += std::string(out.empty() ? "" : ",") + R"({"uid":")" + host.uid() +
               R"(","endpoint":"127.0.0.1:)" + std::to_string(host.port(gateway)) +
               R"(","az":"a","model":"m","pod_group":)" + std::to_string(host.cell()) +
               R"(,"state":")" + (draining.contains(static_cast<int>(h)) ? "draining" : "ready") +
               R"(","capacity_hint":1,"boot_ms":)" + std::to_string(host.boot_ms) + "}";
    }
    return out;
}

std::string World::config(int g) const {
    const Gateway& gateway = gateways[static_cast<std::size_t>(g)];
    std::string peers;
    for (const Gateway& other : gateways)
        peers += std::string(peers.empty() ? "" : ",") + "\"" + test_support::own_address() + ":" +
                 std::to_string(other.process->port()) + "\"";
    const Directory& directory = gateway.moved ? *gateway.other : *gateway.directory;
    return R"({"name":")" + gateway.name + R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" +
           std::to_string(directory.port()) + R"(","seed":"8c1f30d27a5be9)" +
           hex(static_cast<std::uint64_t>(gateway.starts * 100 + g)).substr(14) +
           R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":512},"peer_listen":")" +
           test_support::own_address() + ":" + std::to_string(gateway.process->port()) +
           R"(","peers":[)" + peers + R"(],"known":{"rev":1,"all":true,"targets":[)" + targets(g) +
           R"(]},"settings":{"rank":)" + std::to_string(g) + R"(,"instances":)" +
           std::to_string(size.gateways) +
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

void World::start_gateway(int g) {
    Gateway& gateway = gateways[static_cast<std::size_t>(g)];
    ++gateway.starts;
    gateway.expected_down = gateway.ready = false;
    gateway.terminated = 0us;
    gateway.started = now();
    gateway.full_log = gateway.starts % 3 == g % 3 && g % 4 == 0;
    ledger.gateway_restarted(gateway.name);
    gateway.process->faults.clear();
    gateway.process->configure(config(g));
    gateway.process->start(gateway.full_log ? full_pipe_write_.get() : -1);
}

void World::list_changed() {
    ++revision;
    for (Gateway& gateway : gateways)
        gateway.followed().tell_changes();
}

// Sees processes that come up, do not, or end by themselves. Ready is one that accepts a
// connection.
void World::watch_processes() {
    for (Gateway& gateway : gateways) {
        if (!gateway.expected_down) {
            if (const auto status = gateway.process->exit_status()) {
                ledger.violation(now(), Breach::crash,
                                 gateway.name + " ended with status " + std::to_string(*status) +
                                     "; " + gateway.process->log().substr(0, 300));
                gateway.expected_down = true, gateway.ready = false;
            }
        }
        if (gateway.ready || gateway.expected_down) continue;
        const event::Fd look(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        ::inet_pton(AF_INET, test_support::own_address().c_str(), &at.sin_addr);
        at.sin_port = htons(static_cast<std::uint16_t>(gateway.process->port()));
        if (::connect(look.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
            gateway.ready = true;
        else if (now() - gateway.started > ready_most) {
            ledger.violation(now(), Breach::not_ready,
                             gateway.name + (gateway.full_log ? ", its log unread" : ""));
            gateway.expected_down = true;
        }
    }
    loop.after(30ms, [this] { watch_processes(); });
}

void World::measure_lag() {
    const Micros at = now();
    lags_.emplace_back(at, std::max(0us, at - lag_due_));
    while (lags_.front().first < at - lag_memory)
        lags_.pop_front();
    Micros most = 0us;
    for (const auto& [when, lag] : lags_)
        most = std::max(most, lag);
    ledger.observer_lag(lag_least + most);
    lag_due_ = at + lag_period;
    loop.after(lag_period, [this] { measure_lag(); });
}

}  // namespace soak

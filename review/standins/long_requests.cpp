// Case 2: hosts, discovery and clients of one instance on the platform. Bad clients send unreadable
// data and leave. After that, usual clients send requests on shared connections, some of them long;
// every request that the instance has taken must be answered.
//
//     long_requests FOLDER RECORD      FOLDER gets config.json for the instance
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <deque>

#include "platform.h"

namespace {
using namespace standin;

constexpr int bad_client_count = 4, bad_clients_at_once = 2;
constexpr std::size_t unreadable_bytes = 60'000;
constexpr Millis quiet_time = 2s;  // from the last bad client's end to the first request
constexpr int connection_count = 8;
constexpr Millis run_time = 20s;
constexpr int mean_pause_ms = 80;  // between two requests on one connection
constexpr int long_percent = 15;   // of the submits
constexpr int min_long_bytes = 10'000, max_long_bytes = 40'000, short_bytes = 200;
constexpr std::size_t flight_bytes = 14'600;  // sent at once: ten segments
constexpr Millis flight_gap = 1ms;            // the way from client to instance and back
constexpr int min_work_ms = 40, max_work_ms = 100;
constexpr Millis patience = 3s;
// A request counts as taken only if its last byte was written so long before the connection's end.
constexpr Millis crossing_time = 20ms;

struct World {
    explicit World(const std::string& record_path) : record(record_path) {}

    Record record;
    std::atomic<int> sent = 0, served = 0, refused = 0, failed = 0, foreign = 0, lost = 0;
    std::atomic<int> crossed = 0, bad_ended = 0, bad_kept = 0;
};

void serve_host(World& world, int host, Connection& connection) {
    std::mt19937 random(std::random_device{}());
    while (const auto words = read_command(connection)) {
        const std::string& name = words->front();
        if (name == "PING") {
            connection.write("+PONG\r\n");
        } else if (name == "INFO") {
            connection.write(bulk("backlog=0"));
        } else if (!name.starts_with("SVC.")) {
            connection.write("-ERR unknown command\r\n");
        } else {
            std::this_thread::sleep_for(Millis(uniform(random, min_work_ms, max_work_ms)));
            world.record.line("run host=" + std::to_string(host) + " id=" + words->at(2));
            connection.write(answer_for(words->at(2)));
        }
    }
}

// Sends unreadable data at full speed, and reads what it is sent to the end.
void run_bad_client(World& world, int port) {
    Connection connection(Connection::connect(port));
    connection.write(std::string(unreadable_bytes, '#'));
    const auto limit = Clock::now() + 3s;
    const auto line = connection.read_line(limit);
    while (connection.read_bytes(1, limit)) {
    }
    ++(connection.ended() ? world.bad_ended : world.bad_kept);
    world.record.line("bad client got '" + line.value_or("") + "'" +
                      (connection.ended() ? " and the end" : " and no end within 3 s"));
}

// One connection of the front: requests of many customers, each sent when it comes; the answers are
// read in the order of the commands.
class SharedConnection {
  public:
    SharedConnection(World& world, int port, int number)
        : world_(world), port_(port), number_(number) {}

    void run() {
        const auto until = Clock::now() + run_time;
        while (Clock::now() < until) {
            Connection connection(Connection::connect(port_));
            if (!connection.is_open()) {
                std::this_thread::sleep_for(20ms);
                continue;
            }
            ended_ = false;
            std::thread reader([&] { read_answers(connection); });
            send_requests(connection, until);
            // No more is sent: the rest of the answers is read until all are there.
            wait_until([this] { return ended_ || outstanding() == 0; }, patience);
            stop_reading_ = true;
            reader.join();
            stop_reading_ = false;
            count_unanswered();
        }
    }

  private:
    struct Sent {
        std::string id;
        Clock::time_point written_at;  // of the last byte; not set: not written completely
        bool complete = false;
    };

    std::size_t outstanding() {
        const std::lock_guard lock(mutex_);
        return sent_.size();
    }
    void send_requests(Connection& connection, Clock::time_point until) {
        std::exponential_distribution<double> pause(1.0 / mean_pause_ms);
        while (Clock::now() < until && !ended_) {
            const std::string id = hex(std::uint64_t{random_()} << 32 | random_());
            const bool is_lookup = uniform(random_, 1, 100) <= 53;
            const bool is_long = !is_lookup && uniform(random_, 1, 100) <= long_percent;
            const int size =
                is_long ? uniform(random_, min_long_bytes, max_long_bytes) : short_bytes;
            const std::string customer =
                hex(static_cast<std::uint64_t>(number_ * 100 + uniform(random_, 0, 19)));
            const std::string bytes = command(request_words(
                is_lookup, customer, id, std::string(static_cast<std::size_t>(size), 's')));
            {
                const std::lock_guard lock(mutex_);
                sent_.push_back({id, {}, false});
            }
            ++world_.sent;
            world_.record.line("sending connection=" + std::to_string(number_) + " id=" + id +
                               " bytes=" + std::to_string(bytes.size()));
            if (!write_in_flights(connection, bytes)) return;
            {
                const std::lock_guard lock(mutex_);
                for (Sent& sent : sent_)
                    if (sent.id == id) sent.complete = true, sent.written_at = Clock::now();
            }
            std::this_thread::sleep_for(Millis(static_cast<int>(pause(random_))));
        }
    }
    static bool write_in_flights(const Connection& connection, std::string_view bytes) {
        while (!bytes.empty()) {
            const std::size_t size = std::min(bytes.size(), flight_bytes);
            if (!connection.write(bytes.substr(0, size))) return false;
            bytes.remove_prefix(size);
            if (!bytes.empty()) std::this_thread::sleep_for(flight_gap);
        }
        return true;
    }

    void read_answers(Connection& connection) {
        while (!stop_reading_) {
            const auto header = connection.read_line(Clock::now() + 50ms);
            if (!header) {
                if (!connection.ended()) continue;
                ended_at_ = Clock::now();
                ended_ = true;
                return;
            }
            const auto value = read_bulk(connection, *header, Clock::now() + patience);
            const std::lock_guard lock(mutex_);
            if (sent_.empty()) continue;
            const std::string id = sent_.front().id;
            sent_.pop_front();
            count_answer(id, *header, value);
        }
    }
    void count_answer(const std::string& id, const std::string& header,
                      const std::optional<std::string>& value) {
        if (value)
            ++(*value == value_for(id) ? world_.served : world_.foreign);
        else
            ++(header.starts_with("-BUSY") ? world_.refused : world_.failed);
        world_.record.line("answered connection=" + std::to_string(number_) + " id=" + id + " " +
                           (value ? "served" : header));
    }
    // Requests without an answer when the connection has ended, or when all patience is over.
    void count_unanswered() {
        const std::lock_guard lock(mutex_);
        const auto end = ended_ ? ended_at_ : Clock::now();
        for (const Sent& sent : sent_) {
            const bool taken = sent.complete && sent.written_at + crossing_time < end;
            ++(taken ? world_.lost : world_.crossed);
            world_.record.line(
                "unanswered connection=" + std::to_string(number_) + " id=" + sent.id +
                (taken
                     ? " LOST: its last byte was written " +
                           std::to_string(
                               std::chrono::duration_cast<Millis>(end - sent.written_at).count()) +
                           " ms before the connection ended"
                     : " not counted: not written, or it crossed the end"));
        }
        sent_.clear();
    }

    World& world_;
    const int port_, number_;
    std::mt19937 random_{std::random_device{}()};
    std::mutex mutex_;
    std::deque<Sent> sent_;
    std::atomic<bool> ended_ = false, stop_reading_ = false;
    Clock::time_point ended_at_;
};

void run_bad_clients(World& world, int port) {
    for (int i = 0; i < bad_client_count; i += bad_clients_at_once) {
        std::vector<std::thread> clients;
        for (int j = 0; j < bad_clients_at_once; ++j)
            clients.emplace_back([&world, port] { run_bad_client(world, port); });
        for (std::thread& client : clients)
            client.join();
    }
    world.record.line("the bad clients have left");
}

int run(const std::string& folder, const std::string& record_path) {
    World world(record_path);
    const auto hosts = start_hosts(
        [&world](int host, Connection& connection) { serve_host(world, host, connection); });
    const std::string list = list_of(hosts);
    Server discovery([&list](Connection& connection) { serve_list(connection, list); });
    const int port = free_port();
    write_file(folder + "/config.json", config(port, discovery.port(), list));
    if (!wait_until([port] { return answers_ping(port); }, 20s)) {
        world.record.line("the instance did not answer PING");
        return could_not_run;
    }
    if (has_trouble()) run_bad_clients(world, port);
    std::this_thread::sleep_for(quiet_time);
    std::vector<std::thread> connections;
    for (int i = 0; i < connection_count; ++i)
        connections.emplace_back([&world, port, i] { SharedConnection(world, port, i).run(); });
    for (std::thread& connection : connections)
        connection.join();
    char text[240];
    std::snprintf(text, sizeof text,
                  "bad clients ended %d, kept %d; sent %d, served %d, refused %d, failed %d, "
                  "foreign %d, lost %d, crossed an end %d",
                  world.bad_ended.load(), world.bad_kept.load(), world.sent.load(),
                  world.served.load(), world.refused.load(), world.failed.load(),
                  world.foreign.load(), world.lost.load(), world.crossed.load());
    const Verdict verdict = world.lost > 0 ? broken : world.served > 500 ? held : could_not_run;
    world.record.line(std::string(text) + "; " +
                      (verdict == broken ? "BROKEN"
                       : verdict == held ? "held"
                                         : "too few answers to tell"));
    std::printf("%s\n", text);
    return verdict;
}
}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) return could_not_run;
    std::signal(SIGPIPE, SIG_IGN);
    const int verdict = run(argv[1], argv[2]);
    std::fflush(stdout);
    std::_Exit(verdict);
}

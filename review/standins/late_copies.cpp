// Case 1: hosts, discovery and clients of one instance on the platform. Some answers of the hosts
// are followed by a second copy, which comes some milliseconds late. Each client checks that the
// value it is served is the one that a host made for its request.
//
//     late_copies FOLDER RECORD      FOLDER gets config.json for the instance
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <deque>

#include "platform.h"

namespace {
using namespace standin;

constexpr int client_count = 24;
constexpr Millis run_time = 20s;
constexpr int mean_pause_ms = 150;               // of a client between two requests
constexpr double copy_share = 0.05;              // of the answers that are followed by a copy
constexpr int min_late_ms = 2, max_late_ms = 8;  // of a copy, behind its answer
constexpr int min_work_ms = 40, max_work_ms = 100;
constexpr Millis client_patience = 3s;

// The bytes of one connection from a host to the instance, each piece with the moment at which the
// network delivers it, in order.
class DelayedOutput {
  public:
    explicit DelayedOutput(Connection& connection)
        : connection_(connection), sender_([this] { send_pieces(); }) {}
    ~DelayedOutput() {
        ended_ = true;
        sender_.join();
    }
    void write(std::string bytes, Millis delay) {
        const std::lock_guard lock(mutex_);
        pieces_.push_back({Clock::now() + delay, std::move(bytes)});
    }

  private:
    struct Piece {
        Clock::time_point due;
        std::string bytes;
    };
    void send_pieces() {
        while (!ended_) {
            std::string bytes;
            {
                const std::lock_guard lock(mutex_);
                if (!pieces_.empty() && pieces_.front().due <= Clock::now()) {
                    bytes = std::move(pieces_.front().bytes);
                    pieces_.pop_front();
                }
            }
            if (bytes.empty())
                std::this_thread::sleep_for(200us);
            else
                connection_.write(bytes);
        }
    }

    Connection& connection_;
    std::mutex mutex_;
    std::deque<Piece> pieces_;
    std::atomic<bool> ended_ = false;
    std::thread sender_;
};

struct World {
    explicit World(const std::string& record_path) : record(record_path) {}

    Record record;
    std::atomic<int> sent = 0, served = 0, refused = 0, failed = 0, lost = 0, foreign = 0;
    std::atomic<int> runs = 0, copies = 0;
};

// Answers one command after another. A copy is written directly behind its answer, while nothing
// else waits on the connection.
void serve_host(World& world, int host, Connection& connection) {
    std::mt19937 random(std::random_device{}());
    DelayedOutput output(connection);
    while (const auto words = read_command(connection)) {
        const std::string& name = words->front();
        if (name == "PING") {
            output.write("+PONG\r\n", 0ms);
        } else if (name == "INFO") {
            output.write(bulk("backlog=0"), 0ms);
        } else if (!name.starts_with("SVC.")) {
            output.write("-ERR unknown command\r\n", 0ms);
        } else {
            std::this_thread::sleep_for(Millis(uniform(random, min_work_ms, max_work_ms)));
            const std::string& id = words->at(2);
            const std::string answer = answer_for(id);
            ++world.runs;
            world.record.line("run host=" + std::to_string(host) + " id=" + id);
            output.write(answer, 0ms);
            if (!has_trouble() || uniform(random, 1, 1000) > copy_share * 1000) continue;
            const int late_ms = uniform(random, min_late_ms, max_late_ms);
            ++world.copies;
            world.record.line("copy host=" + std::to_string(host) + " id=" + id +
                              " late_ms=" + std::to_string(late_ms));
            output.write(answer, Millis(late_ms));
        }
    }
}

void check_answer(World& world, const std::string& id, const std::string& value) {
    const bool own = value == value_for(id);
    ++(own ? world.served : world.foreign);
    world.record.line("answered id=" + id + " served '" + value + "'" +
                      (own ? "" : " FOREIGN: made for another request"));
}

// Sends one request after another, each with a new id, and reads its answer.
void run_client(World& world, int port, int number) {
    std::mt19937 random(std::random_device{}());
    std::exponential_distribution<double> pause(1.0 / mean_pause_ms);
    Connection connection(Connection::connect(port));
    for (const auto until = Clock::now() + run_time; Clock::now() < until;) {
        const std::string id = hex(std::uint64_t{random()} << 32 | random());
        const std::string customer = hex(static_cast<std::uint64_t>(number) + 1);
        const bool is_lookup = uniform(random, 1, 100) <= 53;
        const auto words = request_words(is_lookup, customer, id, "sheet");
        ++world.sent;
        world.record.line("sent id=" + id + " " + words.front());
        if (!connection.is_open() || !connection.write(command(words))) connection.reopen(port);
        const auto limit = Clock::now() + client_patience;
        const auto header = connection.read_line(limit);
        const auto value = header ? read_bulk(connection, *header, limit) : std::nullopt;
        if (value) {
            check_answer(world, id, *value);
        } else if (!header) {
            ++world.lost;
            world.record.line("unanswered id=" + id);
            connection.reopen(port);
        } else {
            ++(header->starts_with("-BUSY") ? world.refused : world.failed);
            world.record.line("answered id=" + id + " " + *header);
        }
        std::this_thread::sleep_for(Millis(static_cast<int>(pause(random))));
    }
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
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back([&world, port, i] { run_client(world, port, i); });
    for (std::thread& client : clients)
        client.join();
    char text[200];
    std::snprintf(text, sizeof text,
                  "sent %d, served %d, foreign %d, refused %d, failed %d, unanswered %d, runs %d, "
                  "late copies %d",
                  world.sent.load(), world.served.load(), world.foreign.load(),
                  world.refused.load(), world.failed.load(), world.lost.load(), world.runs.load(),
                  world.copies.load());
    const bool enough = world.served > 500 && (!has_trouble() || world.copies > 20);
    const Verdict verdict = world.foreign > 0 ? broken : enough ? held : could_not_run;
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

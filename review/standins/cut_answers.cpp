// Case 3: hosts, network and clients of one HTTP gateway. Answers have no length for the client,
// and some are long. The connections between clients and gateway fall silent for a while and go on.
// An answer that ends without an error must be the whole one.
//
//     cut_answers FOLDER RECORD      FOLDER gets the files of the gateway's configuration
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "platform.h"

namespace {
using namespace standin;

constexpr int client_count = 16;
constexpr Millis run_time = 30s;
constexpr int min_answer_kb = 1000, max_answer_kb = 6000;
constexpr Millis work_time = 40ms;  // of the host
constexpr Millis silence = 1500ms;  // from the request on
constexpr Millis deadline = 3s;     // of the class; an answer that is not whole by then may be cut
constexpr int receive_buffer = 64 * 1024;
constexpr std::size_t chunk_bytes = 16'000;

struct World {
    explicit World(const std::string& record_path) : record(record_path) {}

    Record record;
    std::atomic<int> sent = 0, whole = 0, told = 0, cut = 0, others = 0;
};

std::size_t size_of(const std::string& path) {
    return static_cast<std::size_t>(std::atoll(path.c_str() + path.rfind('/') + 1)) * 1000;
}
// The body that the host makes for a path.
std::string body_for(const std::string& path) {
    std::string body = "answer to " + path + "\n";
    const std::size_t size = size_of(path);
    while (body.size() < size)
        body += "line " + std::to_string(body.size()) + "\n";
    return body += "end of " + path + "\n";
}

// Answers every request with its body in chunks, whose last one says that it is whole.
void serve_host(World& world, int host, Connection& connection) {
    while (const auto first_line = connection.read_line(no_limit)) {
        for (auto line = connection.read_line(no_limit); line && !line->empty();)
            line = connection.read_line(no_limit);
        const std::size_t start = first_line->find(' ') + 1;
        const std::string path = first_line->substr(start, first_line->rfind(' ') - start);
        const std::string body = body_for(path);
        world.record.line("run host=" + std::to_string(host) + " " + path +
                          " bytes=" + std::to_string(body.size()));
        std::this_thread::sleep_for(work_time);
        std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
            const std::string_view piece = std::string_view(body).substr(at, chunk_bytes);
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            answer.append(size).append(piece).append("\r\n");
        }
        if (!connection.write(answer + "0\r\n\r\n")) return;
    }
}

// What a client gets over the network: all bytes up to the end, and whether that end was clean.
struct Received {
    std::string bytes;
    bool clean_end = false;
};

// Sends one request and reads its answer as fast as it comes, except while the network is silent.
Received fetch(int port, const std::string& request) {
    Received received;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(request.size())) {
        if (has_trouble()) std::this_thread::sleep_for(silence);
        const auto until = Clock::now() + 10s;
        while (true) {
            pollfd readable{fd, POLLIN, 0};
            const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
            if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) <= 0) break;
            char bytes[65536];
            const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
            received.clean_end = count == 0;
            if (count <= 0) break;
            received.bytes.append(bytes, static_cast<std::size_t>(count));
        }
    }
    ::close(fd);
    return received;
}

void judge(World& world, const std::string& path, const Received& received, Millis took) {
    const std::size_t head_end = received.bytes.find("\r\n\r\n");
    const bool served =
        received.bytes.compare(0, 12, "HTTP/1.1 200") == 0 && head_end != std::string::npos;
    const std::string expected = body_for(path);
    const std::size_t got = served ? received.bytes.size() - head_end - 4 : 0;
    const std::string size = std::to_string(got) + " of " + std::to_string(expected.size()) +
                             " bytes in " + std::to_string(took.count()) + " ms";
    if (served && !received.clean_end) {
        ++world.told;
        world.record.line("answered " + path + " " + size + ", then an error: the client can tell");
    } else if (!served) {
        ++world.others;
        world.record.line("answered " + path + " " + received.bytes.substr(0, 12));
    } else if (received.bytes.compare(head_end + 4, std::string::npos, expected) == 0) {
        ++world.whole;
        world.record.line("answered " + path + " " + size + ", whole");
    } else {
        ++world.cut;
        world.record.line("answered " + path + " " + size + " and a clean end: CUT");
    }
}

void run_client(World& world, int port) {
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> kilobytes(min_answer_kb, max_answer_kb);
    int number = 0;
    for (const auto until = Clock::now() + run_time; Clock::now() < until;) {
        const std::string path = "/tallies/" + hex(random()) + "-" + std::to_string(++number) +
                                 "/" + std::to_string(kilobytes(random));
        ++world.sent;
        world.record.line("sent " + path);
        const auto sent_at = Clock::now();
        const Received received = fetch(port, "GET " + path + " HTTP/1.0\r\nHost: tallies\r\n\r\n");
        judge(world, path, received, std::chrono::duration_cast<Millis>(Clock::now() - sent_at));
        std::this_thread::sleep_for(300ms);
    }
}

void write_configuration(const std::string& folder, int port, const Hosts& hosts) {
    std::string endpoints;
    for (const auto& host : hosts)
        endpoints +=
            std::string(endpoints.empty() ? "" : ",") +
            R"({"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)" +
            std::to_string(host->port()) + R"(}}},"healthStatus":"HEALTHY"})";
    write_file(
        folder + "/hosts.json",
        R"({"clusterName":"hosts","endpoints":[{"locality":{"zone":"room-1"},"lbEndpoints":[)" +
            endpoints + "]}]}");
    write_file(folder + "/api.yaml", R"(openapi: 3.0.3
info: {title: tallies, version: "1"}
paths:
  /tallies/{name}/{kilobytes}:
    get:
      parameters:
        - {name: name, in: path, required: true, schema: {type: string}}
        - {name: kilobytes, in: path, required: true, schema: {type: string}}
      x-silverreach-class: tally-query
      x-silverreach-units: 1
      responses: {"200": {description: tallies}}
)");
    write_file(folder + "/gateway.textproto",
               "listen { address: \"127.0.0.1:" + std::to_string(port) +
                   "\" }\napi { description: \"api.yaml\" }\n"
                   "class { name: \"tally-query\" aim_ms: 800 deadline_ms: " +
                   std::to_string(deadline.count()) +
                   " }\nhosts { file: \"hosts.json\" }\nattempts { most: 3 }\n");
}

int run(const std::string& folder, const std::string& record_path) {
    World world(record_path);
    const auto hosts = start_hosts(
        [&world](int host, Connection& connection) { serve_host(world, host, connection); });
    const int port = free_port();
    write_configuration(folder, port, hosts);
    const auto is_ready = [port] { return Connection(Connection::connect(port)).is_open(); };
    if (!wait_until(is_ready, 20s)) return could_not_run;
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back([&world, port] { run_client(world, port); });
    for (std::thread& client : clients)
        client.join();
    char text[200];
    std::snprintf(text, sizeof text,
                  "sent %d, whole %d, ended with an error %d, cut with a clean end %d, others %d",
                  world.sent.load(), world.whole.load(), world.told.load(), world.cut.load(),
                  world.others.load());
    const Verdict verdict = world.cut > 0 ? broken : world.whole > 50 ? held : could_not_run;
    world.record.line(std::string(text) + "; " +
                      (verdict == broken ? "BROKEN"
                       : verdict == held ? "held"
                                         : "unclear"));
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

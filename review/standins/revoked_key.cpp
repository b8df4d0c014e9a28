// Case 3: host and clients of one HTTP gateway with a registry of keys. A key is revoked while
// hundreds of silent clients hold the gateway's descriptors. After they have left, the revoked key
// must not be served.
//
//     revoked_key FOLDER RECORD
//
// FOLDER gets the files of the gateway's configuration, and has the keys (leaked, other). The file
// `revoke` in it asks the script to revoke the leaked key; `revoked` says that this was
// acknowledged. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <memory>

#include "standin.h"

namespace {
using namespace standin;

constexpr int silent_count = 300;
constexpr Millis before_revocation = 2s;  // from the silent clients' arrival
constexpr Millis after_revocation = 2s;   // until they leave
constexpr Millis settling_time = 5s;      // from their leaving to the first judged request
constexpr Millis judged_time = 20s;
constexpr Millis pause = 250ms;  // between two requests of a key

std::string read_word(const std::string& path) {
    std::ifstream in(path);
    std::string word;
    in >> word;
    return word;
}

// Answers every request with its path.
void serve_host(Record& record, Connection& connection) {
    while (const auto first_line = connection.read_line(no_limit)) {
        for (auto line = connection.read_line(no_limit); line && !line->empty();)
            line = connection.read_line(no_limit);
        const std::size_t start = first_line->find(' ') + 1;
        const std::string path = first_line->substr(start, first_line->rfind(' ') - start);
        record.line("run " + path);
        std::this_thread::sleep_for(20ms);
        if (!connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) +
                              "\r\n\r\n" + path))
            return;
    }
}

// Returns the status of the answer; 0: none.
int request(int port, const std::string& path, const std::string& key) {
    Connection connection(Connection::connect(port));
    if (!connection.is_open()) return 0;
    connection.write("GET " + path + " HTTP/1.1\r\nHost: tallies\r\nX-Key: " + key +
                     "\r\nConnection: close\r\n\r\n");
    const auto status_line = connection.read_line(Clock::now() + 3s);
    if (!status_line || status_line->size() < 12) return 0;
    return std::atoi(status_line->c_str() + 9);
}

void write_configuration(const std::string& folder, int port, int host_port) {
    write_file(folder + "/hosts.json",
               R"({"clusterName":"hosts","endpoints":[{"locality":{"zone":"hall-a"},"lbEndpoints":[
{"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)" +
                   std::to_string(host_port) + R"(}}},"healthStatus":"HEALTHY"}]}]})");
    write_file(folder + "/api.yaml", R"(openapi: 3.0.3
info: {title: tallies, version: "1"}
components: {securitySchemes: {key: {type: apiKey, in: header, name: X-Key}}}
security: [{key: []}]
paths:
  /tallies/{number}:
    get:
      parameters: [{name: number, in: path, required: true, schema: {type: string}}]
      x-silverreach-class: tally-read
      x-silverreach-units: 1
      responses: {"200": {description: a tally}}
)");
    write_file(folder + "/gateway.textproto",
               "listen { address: \"127.0.0.1:" + std::to_string(port) + R"(" }
api { description: "api.yaml" }
class { name: "tally-read" aim_ms: 800 deadline_ms: 2000 }
plan { name: "partner" rate: 14 burst: 42 }
registry: "keys"
hosts { file: "hosts.json" }
attempts { most: 4 }
)");
}

struct Statuses {
    int served = 0, rejected = 0, others = 0;
    void add(int status) { ++(status == 200 ? served : status == 401 ? rejected : others); }
    std::string text() const {
        return std::to_string(served) + " served, " + std::to_string(rejected) + " with 401, " +
               std::to_string(others) + " others";
    }
};

int run(const std::string& folder, const std::string& record_path) {
    Record record(record_path);
    Server host([&record](Connection& connection) { serve_host(record, connection); });
    const int port = free_port();
    write_configuration(folder, port, host.port());
    const std::string leaked = read_word(folder + "/leaked"), other = read_word(folder + "/other");
    int number = 0;
    const auto ask = [&](const char* name, const std::string& key) {
        const std::string path = "/tallies/" + std::to_string(++number);
        record.line("sent " + path + " with the " + name + " key");
        const int status = request(port, path, key);
        record.line("answered " + path + " " + std::to_string(status));
        return status;
    };
    if (!wait_until([&] { return ask("leaked", leaked) == 200 && ask("other", other) == 200; },
                    20s)) {
        record.line("the keys are not served at the beginning");
        return could_not_run;
    }
    std::vector<std::unique_ptr<Connection>> silent;
    if (has_trouble()) {
        for (int i = 0; i < silent_count; ++i)
            silent.push_back(std::make_unique<Connection>(Connection::connect(port)));
        record.line(std::to_string(silent_count) + " silent clients have connected");
    }
    std::this_thread::sleep_for(before_revocation);
    write_file(folder + "/revoke", "now\n");
    if (!wait_until([&] { return !read_word(folder + "/revoked").empty(); }, 10s))
        return could_not_run;
    record.line("the revocation was acknowledged");
    std::this_thread::sleep_for(after_revocation);
    silent.clear();
    record.line("the silent clients have left");
    std::this_thread::sleep_for(settling_time);

    Statuses leaked_statuses, other_statuses;
    for (const auto until = Clock::now() + judged_time; Clock::now() < until;) {
        leaked_statuses.add(ask("leaked", leaked));
        other_statuses.add(ask("other", other));
        std::this_thread::sleep_for(pause);
    }
    const Verdict verdict = leaked_statuses.served > 0  ? broken
                            : other_statuses.served > 0 ? held
                                                        : could_not_run;
    const std::string text = "after the revocation: revoked key " + leaked_statuses.text() +
                             "; other key " + other_statuses.text();
    record.line(text + "; " +
                (verdict == broken ? "BROKEN"
                 : verdict == held ? "held"
                                   : "unclear"));
    std::printf("%s\n", text.c_str());
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

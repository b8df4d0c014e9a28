// Case 7: a host sends a second copy of an answer some milliseconds late.
//
// One gateway, two hosts in another zone at 2 ms one way, the agent of discovery, six connections
// of clients. After a quiet time each client asks again as soon as it is answered. Then every tenth
// answer of a host is followed, 3 ms later, by a second copy of it, where nothing else waits on the
// connection at the host. The rule: a client is served with nothing but the value that a host made
// for its request.

#include "../standins-2/standins.h"

using namespace standins;

namespace {
constexpr double one_way_ms = 2, work_ms = 6, copy_late_ms = 3;
constexpr int client_count = 6, copy_every = 10;

struct Client {
    ConnectionPtr connection;
    std::string id;  // of the open request
    bool is_open = false;
};

struct Clients {
    Loop& loop;
    Record& record;
    std::vector<std::unique_ptr<Client>> all;
    std::uint64_t next = 1;
    bool asks_again = false;
    std::size_t asked = 0, served_count = 0, refused = 0, failed = 0, foreign = 0;

    void open(int port) {
        for (int i = 0; i < client_count; ++i) {
            auto client = std::make_unique<Client>();
            client->connection = connect_to(loop, port);
            if (!client->connection) give_up("no connection to the gateway");
            client->connection->on_input = [this, target = client.get()] { on_input(*target); };
            all.push_back(std::move(client));
        }
    }
    void ask(Client& client) {
        const std::uint64_t number = next++;
        client.id = hex(0xc0de000000000000 + number);
        client.is_open = true;
        ++asked;
        record.line("sent " + client.id);
        client.connection->write(command({"SVC.QUERY", hex(number % 500), client.id,
                                          "c=proof,t=weekly,d=700,units=1,spread=1,first=0"}));
    }
    void on_input(Client& client) {
        while (const auto reply = take_reply(client.connection->input)) {
            client.is_open = false;
            const bool is_served = reply->front() == '$';
            const bool is_own = *reply == "$for " + client.id;
            ++(is_served ? served_count : reply->starts_with("-BUSY") ? refused : failed);
            record.line("answer to " + client.id + ": " + *reply);
            if (is_served && !is_own) {
                ++foreign;
                record.line("RULE BROKEN: foreign value for " + client.id);
            }
            if (asks_again) ask(client);
        }
    }
    bool none_open() const {
        return std::none_of(all.begin(), all.end(),
                            [](const auto& client) { return client->is_open; });
    }
};
}  // namespace

int main(int count, char** arguments) {
    const CaseOptions options = case_options(count, arguments);
    Record record(options.record);
    record.line(options.trouble ? "with the disruption" : "without the disruption");
    Loop loop;
    Discovery discovery(loop);
    bool sends_copies = false;
    int answers = 0;
    std::size_t copies = 0;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Relay>> ways;
    std::map<Connection*, std::size_t> received;  // commands on each connection
    for (int i = 0; i < 2; ++i) {
        hosts.push_back(std::make_unique<Host>(loop));
        hosts.back()->on_command = [&, i](const ConnectionPtr& connection, const Words& words) {
            const std::size_t number = ++received[connection.get()];
            record.line(format("run %s at host %d", words[2].c_str(), i));
            const std::string answer = served("for " + words[2]);
            const bool has_copy = sends_copies && ++answers % copy_every == 0;
            loop.after(work_ms, [&, connection, answer, has_copy, number, id = words[2]] {
                connection->write(answer);
                if (!has_copy) return;
                loop.after(copy_late_ms, [&, connection, answer, number, id] {
                    // Nothing else may wait on the connection, read or unread.
                    if (received[connection.get()] != number || !connection->is_open()) return;
                    char byte = 0;
                    if (::recv(connection->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) return;
                    ++copies;
                    record.line("second copy of the answer to " + id);
                    connection->write(answer);
                });
            });
        };
        ways.push_back(std::make_unique<Relay>(loop, one_way_ms));
        ways.back()->set_target(hosts.back()->port());
        discovery.targets.push_back({format("s-%d", i), ways.back()->port(), 1, "ready", "south"});
    }
    SettingsText settings;
    settings.classes = R"({"name":"proof","effect":"retryable","deadlineUs":700000,)"
                       R"("promiseUs":250000,"value":2,"lateWorth":0})";
    settings.locality = "north";
    settings.zones = R"("north","south")";
    settings.drain_grace_ms = 250;
    settings.conn_idle_ms = 2000;
    settings.plans = R"({"name":"weekly","rate":16,"mostAtOnce":40,"worthFactor":1.3})";
    const std::string config = options.folder + "/config.json";
    write_file(config,
               node_config(settings, discovery.address(), list_json(1, true, discovery.targets)));
    const Gateway gateway("exec " + options.program + " node", {"NODE_CONFIG=" + config},
                          options.folder + "/gateway.log");
    Clients clients{.loop = loop, .record = record, .all = {}};
    clients.open(gateway.wait_for_port(loop, " ready ", "port="));

    // A quiet time of 8 s: one request after another, 40 ms apart.
    for (int i = 0; i < 200; ++i) {
        clients.ask(*clients.all[static_cast<std::size_t>(i % client_count)]);
        loop.run(40, [&] { return false; });
    }
    if (!loop.run(3000, [&] { return clients.none_open(); })) give_up("the quiet time");
    record.line(format("quiet time: %zu served of %zu", clients.served_count, clients.asked));

    clients.asks_again = true;
    for (const auto& client : clients.all)
        clients.ask(*client);
    loop.run(2000);
    sends_copies = options.trouble;
    loop.run(4000);
    clients.asks_again = false;
    const bool is_over = loop.run(4000, [&] { return clients.none_open(); });
    record.line(format("%zu asked: %zu served, %zu refused, %zu failed; %zu second copies",
                       clients.asked, clients.served_count, clients.refused, clients.failed,
                       copies));
    if (options.trouble && copies == 0) give_up("no second copy was sent");
    if (clients.foreign > 0)
        record.line(format("RULE BROKEN: %zu foreign values", clients.foreign));
    else
        record.line(is_over ? "the rule held" : "RULE BROKEN: a request without an answer");
    return clients.foreign > 0 || !is_over ? rule_broken : rule_held;
}

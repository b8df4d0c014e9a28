// Case 8: clients that send many commands at once are cut off from the gateway for 2.6 s and come
// back.
//
// One gateway, eight hosts, the agent of discovery. A front brings clients in over one connection
// through a relay. It sends 120 requests at once; their values are long. Just after the first
// answer the relay falls silent for 2.6 s, then goes on. Every request has 4 s. The rule: no
// request that the gateway has taken is lost; it loses those on a connection that it ends itself
// without a whole answer.

#include "../standins-2/standins.h"

using namespace standins;

namespace {
constexpr int request_count = 120, host_count = 8;
constexpr std::size_t value_bytes = 60 * 1024;
constexpr double cut_ms = 2600;
constexpr double deadline_ms = 4000;
constexpr int segment_bytes =
    1460;  // as on a network of machines; a loopback's segments are larger

struct Front {
    Loop& loop;
    Record& record;
    ConnectionPtr connection;
    std::vector<std::string> asked;  // ids, in order
    std::size_t answered = 0, served_count = 0, refused = 0, failed = 0, foreign = 0;
    bool ended = false, with_reset = false;
    std::uint64_t next_id = 1;

    Front(Loop& event_loop, Record& run_record, int port)
        : loop(event_loop), record(run_record), connection(connect_to(event_loop, port)) {
        if (!connection) give_up("no connection to the relay");
        connection->on_input = [this] {
            while (const auto reply = take_reply(connection->input))
                on_reply(*reply);
        };
        connection->on_closed = [this](bool reset) {
            ended = true;
            with_reset = reset;
        };
    }
    std::string request() {
        const std::uint64_t number = next_id++;
        const std::string id = hex(0x5eed000000000000 + number);
        asked.push_back(id);
        return command(
            {"SVC.QUERY", hex(number), id,
             format("c=board-load,t=school,d=%.0f,units=1,spread=1,first=0", deadline_ms)});
    }
    void on_reply(const std::string& reply) {
        const bool is_served = reply.front() == '$';
        const std::string id = answered < asked.size() ? asked[answered] : "nothing asked";
        ++answered;
        ++(is_served ? served_count : reply.starts_with("-BUSY") ? refused : failed);
        if (is_served && !reply.starts_with("$for " + id + " ")) ++foreign;
        record.line("answer " + id + " " +
                    (is_served ? format("served, %zu bytes", reply.size() - 1) : reply));
    }
    bool done() const { return ended || answered == asked.size(); }
};
}  // namespace

int main(int count, char** arguments) {
    const CaseOptions options = case_options(count, arguments);
    Record record(options.record);
    record.line(options.trouble ? "with the disruption" : "without the disruption");
    Loop loop;
    Discovery discovery(loop);
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<Host>(loop));
        hosts.back()->on_command = [&, i](const ConnectionPtr& connection, const Words& words) {
            record.line(format("run %s at host %d", words[2].c_str(), i));
            std::string value = "for " + words[2] + " ";
            value.resize(value_bytes, 'x');
            loop.after(10, [connection, value] { connection->write(served(value)); });
        };
        discovery.targets.push_back({format("s-%d", i), hosts.back()->port()});
    }
    SettingsText settings;
    settings.classes = R"({"name":"board-load","effect":"retryable","deadlineUs":4000000,)"
                       R"("promiseUs":1500000,"value":1,"lateWorth":0})";
    settings.drain_grace_ms = 250;
    settings.conn_idle_ms = 30000;
    settings.plans = R"({"name":"school","rate":10,"mostAtOnce":20,"worthFactor":1.4})";
    const std::string config = options.folder + "/config.json";
    write_file(config,
               node_config(settings, discovery.address(), list_json(1, true, discovery.targets)));
    const Gateway gateway("exec " + options.program + " node", {"NODE_CONFIG=" + config},
                          options.folder + "/gateway.log");
    const int port = gateway.wait_for_port(loop, " ready ", "port=");

    Relay relay(loop, 0, 64 * 1024, segment_bytes);
    relay.set_target(port);
    Front front(loop, record, relay.port());

    // A quiet time, in which the gateway comes to know its hosts.
    for (int i = 0; i < 40; ++i) {
        for (int k = 0; k < 10 + i / 2; ++k)
            front.connection->write(front.request());
        loop.run(60);
    }
    if (!loop.run(4000, [&] { return front.done(); }) || front.ended)
        give_up("the quiet time was not answered");
    record.line(format("quiet time: %zu served, %zu refused, %zu failed", front.served_count,
                       front.refused, front.failed));

    const std::size_t quiet = front.answered;
    std::string many;
    for (int i = 0; i < request_count; ++i)
        many += front.request();
    front.connection->write(many);
    record.line(format("sent %d requests at once", request_count));
    const bool begun = loop.run(2000, [&] { return front.answered > quiet; });
    if (!begun || !relay.all_passed_on()) give_up("the requests did not reach the gateway");
    if (options.trouble) {
        record.line(format("the clients are cut off for %.0f ms", cut_ms));
        relay.set_silent(true);
        loop.run(cut_ms);
        relay.set_silent(false);
        record.line("the clients are back");
    }
    const bool is_over = loop.run(8000, [&] { return front.done(); });
    const std::size_t lost = front.asked.size() - front.answered;
    record.line(
        format("%zu asked, %zu answered: %zu served, %zu refused, %zu failed; %s",
               front.asked.size(), front.answered, front.served_count, front.refused, front.failed,
               front.ended ? "the gateway ended the connection" : "the connection is open"));
    if (gateway.has_ended()) record.line("the gateway has ended");
    if (front.foreign > 0) record.line(format("%zu foreign answers", front.foreign));
    if (lost > 0)
        record.line(format("RULE BROKEN: %zu requests lost, from %s on", lost,
                           front.asked[front.answered].c_str()));
    else
        record.line("the rule held");
    return !is_over || lost > 0 ? rule_broken : rule_held;
}

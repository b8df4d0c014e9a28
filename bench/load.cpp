#include "load.h"

#include <algorithm>
#include <deque>
#include <functional>

#include "resp/command_parser.h"
#include "resp/reply_parser.h"
#include "resp/serializer.h"

namespace silverreach::bench {

struct FixedHost::Connection : event::StreamOwner {
    FixedHost& host;
    event::Stream stream;
    std::string pending;
    Connection(FixedHost& parent, event::Fd fd)
        : host(parent), stream(parent.loop_, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        pending.append(bytes);
        if (host.protocol_ == Protocol::resp) {
            std::size_t consumed = 0;
            for (resp::CommandParser reader;
                 reader.parse(std::string_view(pending).substr(consumed)) ==
                 resp::ParseStatus::complete;
                 reader.reset()) {
                consumed += reader.consumed();
                stream.write(host.response_);
            }
            pending.erase(0, consumed);
            return;
        }
        for (auto head_end = pending.find("\r\n\r\n"); head_end != std::string::npos;
             head_end = pending.find("\r\n\r\n")) {
            pending.erase(0, head_end + 4);
            stream.write(host.response_);
        }
    }
    void on_end() override { stream.close(); }
    void on_error(int) override {}
};

FixedHost::FixedHost(event::Loop& loop, std::size_t body_size, Protocol protocol)
    : loop_(loop), protocol_(protocol) {
    response_ = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
                std::to_string(body_size) + "\r\n\r\n" + std::string(body_size, 'x');
    if (protocol == Protocol::resp) {
        response_.clear();
        resp::append_array(response_, 3);
        resp::append_bulk(response_, std::string(body_size, 'x'));
        response_ += "$-1\r\n$-1\r\n";
    }
    listener_ = std::make_unique<event::Listener>(
        loop, "127.0.0.1", 0, false, [] { return true; },
        [this](event::Fd fd, std::string) {
            connections_.push_back(std::make_unique<Connection>(*this, std::move(fd)));
        });
}
FixedHost::~FixedHost() = default;

double Result::percentile(double share) const {
    if (latencies_us.empty()) return 0;
    return latencies_us[std::min(
        latencies_us.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(latencies_us.size())))];
}

namespace {
struct Generator {
    struct Connection : event::StreamOwner {
        Generator& generator;
        event::Stream stream;
        std::string pending;
        // Due times of the requests in flight; latencies include the wait for a connection.
        std::deque<Micros> due_times;
        Connection(Generator& parent, event::Fd fd)
            : generator(parent), stream(parent.loop, std::move(fd), *this, true) {}
        void send(Micros due_at) {
            due_times.push_back(due_at);
            if (generator.load.id_offset > 0) {
                char id[17];
                std::snprintf(id, sizeof id, "%016llx",
                              static_cast<unsigned long long>(++generator.last_id));
                generator.request.replace(generator.load.id_offset, 16, id);
            }
            stream.write(generator.request);
        }
        void on_connected() override {
            if (generator.load.rate <= 0) send(event::Loop::clock());
        }
        void on_data(std::string_view bytes) override {
            pending.append(bytes);
            if (generator.load.protocol == Protocol::resp) {
                resp::ReplyParser reader;
                if (reader.parse(pending) != resp::ParseStatus::complete) return;
                const resp::ReplyType type = reader.take().type;
                return on_response(
                    type == resp::ReplyType::bulk_string || type == resp::ReplyType::array,
                    reader.consumed());
            }
            const std::size_t head_end = pending.find("\r\n\r\n");
            if (head_end == std::string::npos) return;
            const std::size_t length_field = pending.find("Content-Length: ");
            const std::size_t body_size =
                length_field < head_end
                    ? std::strtoul(pending.c_str() + length_field + 16, nullptr, 10)
                    : 0;
            if (pending.size() < head_end + 4 + body_size) return;
            on_response(pending.compare(9, 3, "200") == 0, head_end + 4 + body_size);
        }
        void on_response(bool is_good, std::size_t size) {
            generator.record(due_times.front(), is_good);
            due_times.pop_front();
            pending.erase(0, size);
            if (generator.load.rate <= 0)
                send(event::Loop::clock());
            else
                generator.release(*this);
        }
        void on_end() override { on_error(0); }
        void on_error(int) override {
            stream.close();
            ++generator.result.failures;
        }
    };
    const Load& load;
    std::string request;
    std::uint64_t last_id = 0;
    event::Loop loop;
    Result result;
    Micros began_at{0}, next_due{0};
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<Connection*> idle;
    std::deque<Micros> waiting_due;

    explicit Generator(const Load& settings) : load(settings), request(settings.request) {}
    void record(Micros due_at, bool is_good) {
        const Micros now = event::Loop::clock();
        if (due_at < began_at + load.warm_up || now > began_at + load.warm_up + load.duration)
            return;
        if (!is_good)
            ++result.failures;
        else
            ++result.responses,
                result.latencies_us.push_back(static_cast<double>((now - due_at).count()));
    }
    void release(Connection& connection) {
        if (waiting_due.empty()) return idle.push_back(&connection);
        connection.send(waiting_due.front());
        waiting_due.pop_front();
    }
    void send_due() {
        const Micros now = event::Loop::clock();
        const Micros gap(static_cast<std::int64_t>(1e6 / load.rate));
        for (; next_due <= now; next_due += gap) {
            if (idle.empty()) {
                waiting_due.push_back(next_due);
                continue;
            }
            idle.back()->send(next_due);
            idle.pop_back();
        }
        loop.after(Micros(0),
                   [this] { send_due(); });  // polls, as the system's timers are too coarse
    }
    Result run() {
        for (int i = 0; i < load.connections; ++i) {
            int error = 0;
            connections.push_back(std::make_unique<Connection>(
                *this, event::connect_to("127.0.0.1", load.port, false, error)));
            idle.push_back(connections.back().get());
        }
        began_at = next_due = event::Loop::clock();
        if (load.rate > 0)
            loop.after(Micros(20'000), [this] {
                next_due = event::Loop::clock();
                send_due();
            });
        loop.after(load.warm_up + load.duration, [this] { loop.stop(); });
        loop.run();
        result.seconds = static_cast<double>(load.duration.count()) / 1e6;
        std::sort(result.latencies_us.begin(), result.latencies_us.end());
        return std::move(result);
    }
};
}  // namespace

Result run(const Load& load) {
    return Generator(load).run();
}

}  // namespace silverreach::bench

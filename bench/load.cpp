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
    Connection(FixedHost& h, event::Fd fd) : host(h), stream(h.loop_, std::move(fd), *this) {}
    void on_data(std::string_view bytes) override {
        pending.append(bytes);
        if (host.protocol_ == Protocol::resp) {
            std::size_t taken = 0;
            for (resp::CommandParser reader;
                 reader.parse(std::string_view(pending).substr(taken)) ==
                 resp::ParseStatus::complete;
                 reader.reset()) {
                taken += reader.consumed();
                stream.write(host.answer_);
            }
            pending.erase(0, taken);
            return;
        }
        for (auto at = pending.find("\r\n\r\n"); at != std::string::npos;
             at = pending.find("\r\n\r\n")) {
            pending.erase(0, at + 4);
            stream.write(host.answer_);
        }
    }
    void on_end() override { stream.close(); }
    void on_error(int) override {}
};

FixedHost::FixedHost(event::Loop& loop, std::size_t body, Protocol protocol)
    : loop_(loop), protocol_(protocol) {
    answer_ =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body) +
        "\r\n\r\n" + std::string(body, 'x');
    if (protocol == Protocol::resp) {
        answer_.clear();
        resp::append_array(answer_, 3);
        resp::append_bulk(answer_, std::string(body, 'x'));
        answer_ += "$-1\r\n$-1\r\n";
    }
    listener_ = std::make_unique<event::Listener>(
        loop, "127.0.0.1", 0, false, [] { return true; },
        [this](event::Fd fd, std::string) {
            connections_.push_back(std::make_unique<Connection>(*this, std::move(fd)));
        });
}
FixedHost::~FixedHost() = default;

double Result::percentile(double p) const {
    if (micros.empty()) return 0;
    return micros[std::min(micros.size() - 1,
                           static_cast<std::size_t>(p * static_cast<double>(micros.size())))];
}

namespace {
struct Generator {
    struct Connection : event::StreamOwner {
        Generator& g;
        event::Stream stream;
        std::string pending;
        std::deque<Micros> due;  // when the request in hand should have left, which counts waiting
                                 // for a connection
        Connection(Generator& gen, event::Fd fd)
            : g(gen), stream(gen.loop, std::move(fd), *this, true) {}
        void begin(Micros at) {
            due.push_back(at);
            if (g.load.id_at > 0) {
                char id[17];
                std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++g.ids));
                g.request.replace(g.load.id_at, 16, id);
            }
            stream.write(g.request);
        }
        void on_connected() override {
            if (g.load.rate <= 0) begin(event::Loop::clock());
        }
        void on_data(std::string_view bytes) override {
            pending.append(bytes);
            if (g.load.protocol == Protocol::resp) {
                resp::ReplyParser reader;
                if (reader.parse(pending) != resp::ParseStatus::complete) return;
                const resp::ReplyType type = reader.take().type;
                return over(type == resp::ReplyType::bulk_string || type == resp::ReplyType::array,
                            reader.consumed());
            }
            const std::size_t head = pending.find("\r\n\r\n");
            if (head == std::string::npos) return;
            const std::size_t length = pending.find("Content-Length: ");
            const std::size_t body =
                length < head ? std::strtoul(pending.c_str() + length + 16, nullptr, 10) : 0;
            if (pending.size() < head + 4 + body) return;
            over(pending.compare(9, 3, "200") == 0, head + 4 + body);
        }
        void over(bool good, std::size_t size) {
            g.answered(due.front(), good);
            due.pop_front();
            pending.erase(0, size);
            if (g.load.rate <= 0)
                begin(event::Loop::clock());
            else
                g.free(*this);
        }
        void on_end() override { on_error(0); }
        void on_error(int) override {
            stream.close();
            ++g.result.bad;
        }
    };
    const Load& load;
    std::string request;
    std::uint64_t ids = 0;
    event::Loop loop;
    Result result;
    Micros begin{0}, next{0};
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<Connection*> idle;
    std::deque<Micros> waiting;

    explicit Generator(const Load& l) : load(l), request(l.request) {}
    void answered(Micros at, bool good) {
        const Micros now = event::Loop::clock();
        if (at < begin + load.warm_up || now > begin + load.warm_up + load.span) return;
        if (!good)
            ++result.bad;
        else
            ++result.answers, result.micros.push_back(static_cast<double>((now - at).count()));
    }
    void free(Connection& c) {
        if (waiting.empty()) return idle.push_back(&c);
        c.begin(waiting.front());
        waiting.pop_front();
    }
    void tick() {
        const Micros now = event::Loop::clock();
        const Micros gap(static_cast<std::int64_t>(1e6 / load.rate));
        for (; next <= now; next += gap) {
            if (idle.empty()) {
                waiting.push_back(next);
                continue;
            }
            idle.back()->begin(next);
            idle.pop_back();
        }
        loop.after(Micros(0),
                   [this] { tick(); });  // spins: the system's timers are too coarse for this
    }
    Result run() {
        for (int i = 0; i < load.connections; ++i) {
            int error = 0;
            connections.push_back(std::make_unique<Connection>(
                *this, event::connect_to("127.0.0.1", load.port, false, error)));
            idle.push_back(connections.back().get());
        }
        begin = next = event::Loop::clock();
        if (load.rate > 0)
            loop.after(Micros(20'000), [this] {
                next = event::Loop::clock();
                tick();
            });
        loop.after(load.warm_up + load.span, [this] { loop.stop(); });
        loop.run();
        result.seconds = static_cast<double>(load.span.count()) / 1e6;
        std::sort(result.micros.begin(), result.micros.end());
        return std::move(result);
    }
};
}  // namespace

Result run(const Load& load) {
    return Generator(load).run();
}

}  // namespace silverreach::bench

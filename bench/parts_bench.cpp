// CPU of the parts of a request, one beside the other: module, core with module, codec; and
// descriptions' load and look-up as they grow.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>

#include "accounts/change_log.h"
#include "accounts/registry.h"
#include "core/request_coordinator.h"
#include "frontend/http/message_translation.h"
#include "openapi/description.h"

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
Settings settings() {
    Settings s;
    s.classes = {{"read", Idempotency::idempotent, DeduplicationScope::all, 800ms, 2s}};
    s.plans = {{"plan", 1e6, 1e6}};
    s.max_attempts = 3, s.may_hedge = s.may_cancel = true;
    s.timer_tick = 4ms;
    return s;
}
EndpointsChanged hosts(int n) {
    EndpointsChanged change{true, {}};
    for (int i = 0; i < n; ++i)
        change.endpoints.push_back({fmt::format("127.0.0.1:{}", 9000 + i)});
    return change;
}
struct Null : core::Environment {
    core::AttemptKey key;
    std::string host;
    std::vector<core::Timer> timers;
    void start_timer(Micros, core::Timer t) override { timers.push_back(t); }
    void send_attempt(const core::AttemptKey& k, const std::string& h, Micros) override {
        key = k, host = h;
    }
    void cancel_attempt(const core::AttemptKey&) override {}
    bool withdraw_attempt(const core::AttemptKey&) override { return false; }
    void start_health_check(const std::string&) override {}
    void send_peer_message(int, const std::string&) override {}
    void finish_request(RequestId, const core::FinalResponse&) override {}
    void abort_response(RequestId) override {}
};

void module_alone(benchmark::State& state) {
    Micros now = 1s;
    DecisionEngine gateway(settings(), 1, now);
    std::vector<Action> actions;
    gateway.handle(now, hosts(static_cast<int>(state.range(0))), actions);
    RequestId id = 1;
    for (auto _ : state) {
        now += 50us;
        actions.clear();
        gateway.handle(now, RequestArrived{id, "birds", 0, 0, 1, 2s, 1, 0}, actions);
        std::string host;
        for (const Action& a : actions)
            if (const auto* send = std::get_if<SendAttempt>(&a)) host = send->endpoint;
        gateway.handle(now + 20us, AttemptEnded{id, 0, host, Outcome::success, 20us, true, 0, {}},
                       actions);
        ++id;
    }
}
BENCHMARK(module_alone)->Arg(4)->Arg(32)->Arg(256);

void core_with_module(benchmark::State& state) {
    Micros now = 1s;
    Null out;
    core::RequestCoordinator core(settings(), 0, 1, now, out);
    core.on_endpoints_changed(now, hosts(static_cast<int>(state.range(0))));
    for (auto _ : state) {
        now += 50us;
        out.timers.clear();
        const RequestId id = core.next_id();
        core.start_request(now, id, {"birds", 0, 0, 1, 2s});
        core.on_response_started(now + 20us, out.key, out.host, 20us, {});
        core.on_response_ended(now + 20us, id, true);
    }
}
BENCHMARK(core_with_module)->Arg(4)->Arg(32)->Arg(256);

struct Sink : http::Parser::Events {
    http::Head head;
    bool on_head(http::Head& h) override { return head = std::move(h), true; }
    void on_body(std::string_view) override {}
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override {}
};
void codec(benchmark::State& state) {
    const std::string request =
        "GET /sites/merja/tally HTTP/1.1\r\nHost: birds\r\nX-Key: k1\r\nAccept: "
        "application/json\r\nUser-Agent: bench\r\n\r\n";
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" +
        std::string(200, 'x');
    Sink in, out;
    http::Parser requests(http::Parser::Kind::request, in),
        answers(http::Parser::Kind::response, out);
    frontend::http::Framing framing;
    event::SystemRandom random;
    for (auto _ : state) {
        requests.feed(request);
        requests.reset();
        const auto identity = frontend::http::identify_request(in.head, random);
        benchmark::DoNotOptimize(frontend::http::request_head_for_host(
            in.head, "/sites/merja/tally", identity, "127.0.0.1", "silverreach-0", 0));
        answers.feed(answer);
        answers.reset();
        benchmark::DoNotOptimize(frontend::http::response_head_for_client(
            out.head, {}, identity.request_id, "silverreach-0", framing));
    }
}
BENCHMARK(codec);

std::string description(int paths) {
    std::string text =
        "openapi: 3.1.0\nx-silverreach-class: read\ncomponents:\n  parameters:\n    id: {name: id, "
        "in: path, "
        "required: true, schema: {type: string}}\npaths:\n";
    for (int i = 0; i < paths; ++i)
        text += fmt::format(
            "  /group{}/thing{}/{{id}}/part:\n    parameters: [{{$ref: "
            "'#/components/parameters/id'}}]\n"
            "    get:\n      operationId: get{}\n      x-silverreach-units: 2\n      responses: "
            "{{'200': "
            "{{description: good}}}}\n"
            "    post:\n      operationId: post{}\n      x-silverreach-units: 3\n      responses: "
            "{{'201': "
            "{{description: good}}}}\n",
            i % 17, i, i, i);
    return text;
}
void load_description(benchmark::State& state) {
    const std::string text = description(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        std::vector<openapi::Problem> problems;
        if (!openapi::load(text, "x", {}, problems)) state.SkipWithError("bad description");
    }
}
BENCHMARK(load_description)->Arg(100)->Arg(1000)->Unit(benchmark::kMillisecond);

void look_up(benchmark::State& state) {
    std::vector<openapi::Problem> problems;
    const int n = static_cast<int>(state.range(0));
    const auto d = openapi::load(description(n), "x", {}, problems);
    std::vector<std::string> paths;
    for (int i = 0; i < 64; ++i)
        paths.push_back(fmt::format("/group{}/thing{}/abc/part", i * n / 64 % 17, i * n / 64));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto found = d->table.find(openapi::Method::get, paths[i++ % paths.size()]);
        if (!found.route) state.SkipWithError("no route");
        benchmark::DoNotOptimize(found);
    }
}
BENCHMARK(look_up)->Arg(64)->Arg(1000)->Arg(10000);

// Keys: as many accounts as a tenth of the keys. The look-up's figure has the hash in it;
// `hash_alone` stands beside.
std::string key_number(std::uint64_t n) {
    accounts::Bytes32 random{};
    for (std::size_t i = 0; i < 8; ++i)
        random[i] = random[i + 8] =
            static_cast<std::uint8_t>((n * 0x9E3779B97F4A7C15ull) >> (8 * i));
    return accounts::make_key(random);
}
std::string log_of(std::uint64_t keys, const accounts::Pepper& pepper) {
    std::string log(accounts::log_magic);
    std::uint64_t version = 0;
    const auto add = [&](accounts::Operation operation) {
        log += accounts::encode_record({++version, accounts::UnixTime(1), std::move(operation)});
    };
    add(accounts::AddPlan{"basic"});
    for (std::uint64_t i = 0; i < keys; ++i) {
        if (i % 10 == 0) add(accounts::PutAccount{fmt::format("account{}", i / 10), "basic"});
        const std::string text = key_number(i);
        add(accounts::IssueKey{std::string(accounts::parse_key(text).id),
                               fmt::format("account{}", i / 10), accounts::hash_key(pepper, text),
                               accounts::UnixTime(1), accounts::never});
    }
    return log;
}
std::unique_ptr<accounts::Registry> registry_of(const std::string& log) {
    auto registry = std::make_unique<accounts::Registry>(accounts::Pepper{});
    for (const auto& change :
         accounts::recover_log(log, accounts::encode_marker_slot({1, log.size()})).changes)
        registry->apply(change);
    return registry;
}
void load_registry(benchmark::State& state) {
    const std::string log = log_of(static_cast<std::uint64_t>(state.range(0)), {});
    for (auto _ : state)
        benchmark::DoNotOptimize(registry_of(log));
    state.counters["log_bytes_a_key"] =
        static_cast<double>(log.size()) / static_cast<double>(state.range(0));
}
BENCHMARK(load_registry)->Arg(1000)->Arg(1'000'000)->Unit(benchmark::kMillisecond)->Iterations(1);

void look_up_key(benchmark::State& state) {
    const auto registry = registry_of(log_of(static_cast<std::uint64_t>(state.range(0)), {}));
    std::vector<std::string> texts;
    for (std::uint64_t i = 0; i < 4096; ++i)
        texts.push_back(key_number(i * 977 % static_cast<std::uint64_t>(state.range(0))));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto served = registry->look_up(texts[i++ % texts.size()], accounts::UnixTime(5));
        if (served.status != accounts::KeyStatus::valid) state.SkipWithError("not served");
    }
}
BENCHMARK(look_up_key)->Arg(10)->Arg(1000)->Arg(1'000'000);

void hash_alone(benchmark::State& state) {
    const std::string text = key_number(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(accounts::hash_key({}, text));
}
BENCHMARK(hash_alone);
void shape_alone(benchmark::State& state) {
    const std::string text = key_number(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(accounts::parse_key(text));
}
BENCHMARK(shape_alone);
}  // namespace

BENCHMARK_MAIN();

// CPU time of the parts of a request: the decision engine (module), the request coordinator with
// the engine (core), and the HTTP parser and translation (codec). Also the time to load API
// descriptions and account logs of growing size, and to look up routes and keys in them.
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
    Settings result;
    result.classes = {{"read", Idempotency::idempotent, DeduplicationScope::all, 800ms, 2s}};
    result.plans = {{"plan", 1e6, 1e6}};
    result.max_attempts = 3, result.may_hedge = result.may_cancel = true;
    result.timer_tick = 4ms;
    return result;
}
EndpointsChanged make_hosts(int count) {
    EndpointsChanged change{true, {}};
    for (int i = 0; i < count; ++i)
        change.endpoints.push_back({fmt::format("127.0.0.1:{}", 9000 + i)});
    return change;
}
struct RecordingEnvironment : core::Environment {
    core::AttemptKey key;
    std::string host;
    std::vector<core::Timer> timers;
    void start_timer(Micros, core::Timer timer) override { timers.push_back(timer); }
    void send_attempt(const core::AttemptKey& sent_key, const std::string& sent_host,
                      Micros) override {
        key = sent_key, host = sent_host;
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
    DecisionEngine engine(settings(), 1, now);
    std::vector<Action> actions;
    engine.handle(now, make_hosts(static_cast<int>(state.range(0))), actions);
    RequestId id = 1;
    for (auto _ : state) {
        now += 50us;
        actions.clear();
        engine.handle(now, RequestArrived{id, "birds", 0, 0, 1, 2s, 1, 0}, actions);
        std::string host;
        for (const Action& action : actions)
            if (const auto* send = std::get_if<SendAttempt>(&action)) host = send->endpoint;
        engine.handle(now + 20us, AttemptEnded{id, 0, host, Outcome::success, 20us, true, 0, {}},
                      actions);
        ++id;
    }
}
BENCHMARK(module_alone)->Arg(4)->Arg(32)->Arg(256);

void core_with_module(benchmark::State& state) {
    Micros now = 1s;
    RecordingEnvironment environment;
    core::RequestCoordinator coordinator(settings(), 0, 1, now, environment);
    coordinator.on_endpoints_changed(now, make_hosts(static_cast<int>(state.range(0))));
    for (auto _ : state) {
        now += 50us;
        environment.timers.clear();
        const RequestId id = coordinator.next_id();
        coordinator.start_request(now, id, {"birds", 0, 0, 1, 2s});
        coordinator.on_response_started(now + 20us, environment.key, environment.host, 20us, {});
        coordinator.on_response_ended(now + 20us, id, true);
    }
}
BENCHMARK(core_with_module)->Arg(4)->Arg(32)->Arg(256);

struct ParsedHead : http::Parser::Events {
    http::Head head;
    bool on_head(http::Head& received) override { return head = std::move(received), true; }
    void on_body(std::string_view) override {}
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault&) override {}
};
void codec(benchmark::State& state) {
    const std::string request =
        "GET /sites/merja/tally HTTP/1.1\r\nHost: birds\r\nX-Key: k1\r\nAccept: "
        "application/json\r\nUser-Agent: bench\r\n\r\n";
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" +
        std::string(200, 'x');
    ParsedHead request_events, response_events;
    http::Parser request_parser(http::Parser::Kind::request, request_events),
        response_parser(http::Parser::Kind::response, response_events);
    frontend::http::Framing framing;
    event::SystemRandom random;
    for (auto _ : state) {
        request_parser.feed(request);
        request_parser.reset();
        const auto identity = frontend::http::identify_request(request_events.head, random);
        benchmark::DoNotOptimize(frontend::http::request_head_for_host(
            request_events.head, "/sites/merja/tally", identity, "127.0.0.1", "silverreach-0", 0));
        response_parser.feed(response);
        response_parser.reset();
        benchmark::DoNotOptimize(frontend::http::response_head_for_client(
            response_events.head, {}, identity.request_id, "silverreach-0", framing));
    }
}
BENCHMARK(codec);

std::string make_description(int path_count) {
    std::string text =
        "openapi: 3.1.0\nx-silverreach-class: read\ncomponents:\n  parameters:\n    id: {name: id, "
        "in: path, "
        "required: true, schema: {type: string}}\npaths:\n";
    for (int i = 0; i < path_count; ++i)
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
    const std::string text = make_description(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        std::vector<openapi::Problem> problems;
        if (!openapi::load(text, "x", {}, problems)) state.SkipWithError("bad description");
    }
}
BENCHMARK(load_description)->Arg(100)->Arg(1000)->Unit(benchmark::kMillisecond);

void look_up(benchmark::State& state) {
    std::vector<openapi::Problem> problems;
    const int path_count = static_cast<int>(state.range(0));
    const auto loaded = openapi::load(make_description(path_count), "x", {}, problems);
    std::vector<std::string> paths;
    for (int i = 0; i < 64; ++i)
        paths.push_back(fmt::format("/group{}/thing{}/abc/part", i * path_count / 64 % 17,
                                    i * path_count / 64));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto found = loaded->table.find(openapi::Method::get, paths[i++ % paths.size()]);
        if (!found.route) state.SkipWithError("no route");
        benchmark::DoNotOptimize(found);
    }
}
BENCHMARK(look_up)->Arg(64)->Arg(1000)->Arg(10000);

// Key benchmarks have one account per ten keys. The time of look_up_key includes the hash, which
// hash_alone measures separately.
std::string make_key_text(std::uint64_t number) {
    accounts::Bytes32 random{};
    for (std::size_t i = 0; i < 8; ++i)
        random[i] = random[i + 8] =
            static_cast<std::uint8_t>((number * 0x9E3779B97F4A7C15ull) >> (8 * i));
    return accounts::make_key(random);
}
std::string make_log(std::uint64_t key_count, const accounts::Pepper& pepper) {
    std::string log(accounts::log_magic);
    std::uint64_t version = 0;
    const auto append = [&](accounts::Operation operation) {
        log += accounts::encode_record({++version, accounts::UnixTime(1), std::move(operation)});
    };
    append(accounts::AddPlan{"basic"});
    for (std::uint64_t i = 0; i < key_count; ++i) {
        if (i % 10 == 0) append(accounts::PutAccount{fmt::format("account{}", i / 10), "basic"});
        const std::string text = make_key_text(i);
        append(accounts::IssueKey{
            std::string(accounts::parse_key(text).id), fmt::format("account{}", i / 10),
            accounts::hash_key(pepper, text), accounts::UnixTime(1), accounts::never});
    }
    return log;
}
std::unique_ptr<accounts::Registry> make_registry(const std::string& log) {
    auto registry = std::make_unique<accounts::Registry>(accounts::Pepper{});
    for (const auto& change :
         accounts::recover_log(log, accounts::encode_marker_slot({1, log.size()})).changes)
        registry->apply(change);
    return registry;
}
void load_registry(benchmark::State& state) {
    const std::string log = make_log(static_cast<std::uint64_t>(state.range(0)), {});
    for (auto _ : state)
        benchmark::DoNotOptimize(make_registry(log));
    state.counters["log_bytes_a_key"] =
        static_cast<double>(log.size()) / static_cast<double>(state.range(0));
}
BENCHMARK(load_registry)->Arg(1000)->Arg(1'000'000)->Unit(benchmark::kMillisecond)->Iterations(1);

void look_up_key(benchmark::State& state) {
    const auto registry = make_registry(make_log(static_cast<std::uint64_t>(state.range(0)), {}));
    std::vector<std::string> keys;
    for (std::uint64_t i = 0; i < 4096; ++i)
        keys.push_back(make_key_text(i * 977 % static_cast<std::uint64_t>(state.range(0))));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto lookup = registry->look_up(keys[i++ % keys.size()], accounts::UnixTime(5));
        if (lookup.status != accounts::KeyStatus::valid) state.SkipWithError("not served");
    }
}
BENCHMARK(look_up_key)->Arg(10)->Arg(1000)->Arg(1'000'000);

void hash_alone(benchmark::State& state) {
    const std::string text = make_key_text(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(accounts::hash_key({}, text));
}
BENCHMARK(hash_alone);
void shape_alone(benchmark::State& state) {
    const std::string text = make_key_text(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(accounts::parse_key(text));
}
BENCHMARK(shape_alone);
}  // namespace

BENCHMARK_MAIN();

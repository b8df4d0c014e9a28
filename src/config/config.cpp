#include "config/config.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <charconv>
#include <cmath>
#include <set>

namespace silverreach::config {
namespace {
namespace pb = google::protobuf;
constexpr int effects = 3;  // values of Idempotency

struct Collector : pb::io::ErrorCollector {
    const std::string& file;
    std::vector<Problem>& problems;
    Collector(const std::string& f, std::vector<Problem>& p) : file(f), problems(p) {}
    void AddError(int line, int column, const std::string& message) override {
        problems.push_back({file, line + 1, fmt::format("column {}", column + 1),
                            "valid text format: " + message});
    }
    // The parser reports unknown fields as warnings and continues, so that all of them are listed.
    void AddWarning(int line, int column, const std::string& message) override {
        problems.push_back(
            {file, line + 1, fmt::format("column {}", column + 1), "a known field: " + message});
    }
};

// Validates messages and reports each problem with the line of its field.
class Checker {
  public:
    Checker(const std::string& file, std::vector<Problem>& problems,
            pb::TextFormat::ParseInfoTree* root)
        : file_(file), problems_(problems), root_(root) {}

    using Tree = pb::TextFormat::ParseInfoTree;
    static Tree* nested(Tree* tree, const pb::Message& owner, const char* field, int index) {
        const auto* f = owner.GetDescriptor()->FindFieldByName(field);
        return tree && f ? tree->GetTreeForNested(f, index) : nullptr;
    }
    void problem(Tree* tree, const pb::Message& owner, const char* field, int index,
                 std::string path, std::string expected) {
        const auto* f = owner.GetDescriptor()->FindFieldByName(field);
        int line = 0;
        if (tree && f) {
            line = tree->GetLocation(f, f->is_repeated() ? std::max(index, 0) : -1).line + 1;
        }
        problems_.push_back({file_, std::max(line, 0), std::move(path), std::move(expected)});
    }
    template <typename Number>
    void at_least(Tree* tree, const pb::Message& owner, const char* field, const std::string& path,
                  Number value, Number least) {
        if (!(value >= least) || !std::isfinite(static_cast<double>(value)))
            problem(tree, owner, field, -1, path + field,
                    fmt::format("{} or more, not {}", least, value));
    }
    Tree* root() { return root_; }

  private:
    const std::string& file_;
    std::vector<Problem>& problems_;
    Tree* root_;
};

void check_listen(Checker& c, const Config& config) {
    auto* tree = Checker::nested(c.root(), config, "listen", -1);
    const Listen& l = config.listen();
    if (!parse_endpoint(l.address()))
        c.problem(tree, l, "address", -1, "listen.address",
                  "IP address and port, as in \"127.0.0.1:8080\"");
    c.at_least(tree, l, "max_connections", "listen.", l.max_connections(), 1);
    c.at_least(tree, l, "max_target_bytes", "listen.", l.max_target_bytes(), 16);
    c.at_least(tree, l, "max_head_bytes", "listen.", l.max_head_bytes(), 256);
    c.at_least(tree, l, "max_body_bytes", "listen.", l.max_body_bytes(), 0);
    for (const auto& [name, value] :
         {std::pair{"head_ms", l.head_ms()}, std::pair{"body_ms", l.body_ms()},
          std::pair{"idle_ms", l.idle_ms()}, std::pair{"stalled_ms", l.stalled_ms()}})
        c.at_least<std::int64_t>(tree, l, name, "listen.", value, 1);
}

void check_peers(Checker& c, const Config& config) {
    if (!config.has_peers()) return;
    const Fleet& f = config.peers();
    auto* tree = Checker::nested(c.root(), config, "peers", -1);
    std::set<int> ranks;
    for (int i = 0; i < f.peer_size(); ++i) {
        auto* peer = Checker::nested(tree, f, "peer", i);
        const std::string path = fmt::format("peers.peer[{}].", i);
        if (!parse_endpoint(f.peer(i).address()))
            c.problem(peer, f.peer(i), "address", -1, path + "address", "IP address and UDP port");
        if (f.peer(i).rank() < 0 || f.peer(i).rank() >= f.peer_size())
            c.problem(
                peer, f.peer(i), "rank", -1, path + "rank",
                fmt::format("a rank from 0 to {}, one for each peer listed", f.peer_size() - 1));
        else if (!ranks.insert(f.peer(i).rank()).second)
            c.problem(peer, f.peer(i), "rank", -1, path + "rank", "a rank that no other peer has");
    }
    if (f.peer_size() == 0)
        c.problem(c.root(), config, "peers", -1, "peers.peer",
                  "every instance of the fleet, this one too");
    else if (f.rank() < 0 || f.rank() >= f.peer_size())
        c.problem(tree, f, "rank", -1, "peers.rank",
                  fmt::format("a rank from 0 to {}", f.peer_size() - 1));
    c.at_least(tree, f, "account_spread", "peers.", f.account_spread(), 0);
    c.at_least(tree, f, "messages_per_s", "peers.", f.messages_per_s(), 1.0);
}

void check_classes(Checker& c, const Config& config) {
    std::set<std::string> names;
    for (int i = 0; i < config.class__size(); ++i) {
        const RequestClass& k = config.class_(i);
        auto* tree = Checker::nested(c.root(), config, "class", i);
        const std::string path = fmt::format("class[{}].", i);
        if (k.name().empty() || !names.insert(k.name()).second)
            c.problem(tree, k, "name", -1, path + "name", "a name that no other class has");
        c.at_least<std::int64_t>(tree, k, "aim_ms", path, k.aim_ms(), 1);
        c.at_least<std::int64_t>(tree, k, "deadline_ms", path, k.deadline_ms(), 1);
        if (k.aim_ms() > k.deadline_ms())
            c.problem(tree, k, "aim_ms", -1, path + "aim_ms", "no more than deadline_ms");
        c.at_least<std::int64_t>(tree, k, "repeat_window_ms", path, k.repeat_window_ms(), 0);
    }
    if (names.empty())
        c.problem(c.root(), config, "class", -1, "class", "one class of requests at least");
    if (config.api().has_unpriced() && !names.contains(config.api().unpriced().class_())) {
        auto* api = Checker::nested(c.root(), config, "api", -1);
        c.problem(Checker::nested(api, config.api(), "unpriced", -1), config.api().unpriced(),
                  "class", -1, "api.unpriced.class",
                  fmt::format("one of {}", fmt::join(names, ", ")));
    }
}

void check_plans(Checker& c, const Config& config) {
    std::set<std::string> names, accounts, keys;
    for (int i = 0; i < config.plan_size(); ++i) {
        const Plan& p = config.plan(i);
        auto* tree = Checker::nested(c.root(), config, "plan", i);
        const std::string path = fmt::format("plan[{}].", i);
        if (p.name().empty() || !names.insert(p.name()).second)
            c.problem(tree, p, "name", -1, path + "name", "a name that no other plan has");
        for (const auto& [name, value] :
             {std::pair{"rate", p.rate()}, std::pair{"burst", p.burst()},
              std::pair{"hard_rate", p.hard_rate()}, std::pair{"hard_burst", p.hard_burst()},
              std::pair{"excess_worth", p.excess_worth()},
              std::pair{"excess_cost", p.excess_cost()},
              std::pair{"worth_factor", p.worth_factor()}})
            c.at_least(tree, p, name, path, value, 0.0);
        c.at_least(tree, p, "max_open", path, p.max_open(), 0);
        if (p.rate() > 0 && p.burst() <= 0)
            c.problem(tree, p, "rate", -1, path + "burst", "a burst above 0 beside a rate");
        if (p.hard_rate() > 0 && p.hard_burst() <= 0)
            c.problem(tree, p, "hard_rate", -1, path + "hard_burst",
                      "a hard_burst above 0 beside a hard_rate");
    }
    if (config.has_registry() && config.account_size() > 0)
        c.problem(c.root(), config, "account", 0, "account", "either accounts here or a registry");
    c.at_least<std::int64_t>(c.root(), config, "clock_skew_ms", "", config.clock_skew_ms(), 0);
    if (config.api().has_anonymous_plan() && !names.contains(config.api().anonymous_plan()))
        c.problem(Checker::nested(c.root(), config, "api", -1), config.api(), "anonymous_plan", -1,
                  "api.anonymous_plan", fmt::format("one of {}", fmt::join(names, ", ")));
    for (int i = 0; i < config.account_size(); ++i) {
        const auto& a = config.account(i);
        auto* tree = Checker::nested(c.root(), config, "account", i);
        const std::string path = fmt::format("account[{}].", i);
        if (a.name().empty() || !accounts.insert(a.name()).second)
            c.problem(tree, a, "name", -1, path + "name", "a name that no other account has");
        if (!names.contains(a.plan()))
            c.problem(tree, a, "plan", -1, path + "plan",
                      fmt::format("one of {}", fmt::join(names, ", ")));
        for (int k = 0; k < a.key_size(); ++k)
            if (a.key(k).empty() || !keys.insert(a.key(k)).second)
                c.problem(tree, a, "key", k, fmt::format("{}key[{}]", path, k),
                          "a key that stands nowhere else");
    }
}

void check_hosts(Checker& c, const Config& config) {
    const Hosts& h = config.hosts();
    auto* tree = Checker::nested(c.root(), config, "hosts", -1);
    if (h.has_file() == h.has_discovery())
        c.problem(c.root(), config, "hosts", -1, "hosts", "either a file or a discovery address");
    if (h.has_discovery() && !parse_endpoint(h.discovery()))
        c.problem(tree, h, "discovery", -1, "hosts.discovery", "IP address and port");
    for (const auto& [name, value] :
         {std::pair{"discovery_ms", h.discovery_ms()}, std::pair{"idle_ms", h.idle_ms()},
          std::pair{"connect_ms", h.connect_ms()}, std::pair{"probe_ms", h.probe_ms()}})
        c.at_least<std::int64_t>(tree, h, name, "hosts.", value, 1);
    c.at_least(tree, h, "max_connections", "hosts.", h.max_connections(), 1);
    if (h.has_probe_path() && openapi::check_path(h.probe_path()) != openapi::PathFault::none)
        c.problem(tree, h, "probe_path", -1, "hosts.probe_path", "a path that starts with '/'");
    if (h.reports() == Hosts::ON_PROBE && !h.has_probe_path())
        c.problem(tree, h, "reports", -1, "hosts.probe_path",
                  "a path, where reports come on probes");
}

void check_rules(Checker& c, const Config& config) {
    const Rules& r = config.rules();
    auto* rules = Checker::nested(c.root(), config, "rules", -1);
    c.at_least<std::int64_t>(rules, r, "tick_ms", "rules.", r.tick_ms(), 1);
    c.at_least<std::int64_t>(rules, r, "cold_ms", "rules.", r.cold_ms(), 0);
    c.at_least<std::int64_t>(rules, r, "fall_ms", "rules.", r.fall_ms(), 0);
    c.at_least(rules, r, "fall_multiple", "rules.", r.fall_multiple(), 0.0);
    if (!(r.start_capacity() > 0 && r.start_capacity() <= 1))
        c.problem(rules, r, "start_capacity", -1, "rules.start_capacity",
                  "a share above 0, up to 1");
    const Attempts& a = config.attempts();
    auto* attempts = Checker::nested(c.root(), config, "attempts", -1);
    c.at_least(attempts, a, "most", "attempts.", a.most(), 1);
    if (a.most() > 200) c.problem(attempts, a, "most", -1, "attempts.most", "200 or less");
    for (int i = 0; i < config.host_answers().full_size(); ++i) {
        const auto& full = config.host_answers().full(i);
        auto* answers = Checker::nested(c.root(), config, "host_answers", -1);
        if (full.status() < 400 || full.status() > 599)
            c.problem(Checker::nested(answers, config.host_answers(), "full", i), full, "status",
                      -1, fmt::format("host_answers.full[{}].status", i),
                      "a status from 400 to 599");
    }
}
}  // namespace

std::string Endpoint::text() const {
    return v6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    Endpoint e;
    std::string_view ip = text.substr(0, colon), port = text.substr(colon + 1);
    const auto read = std::from_chars(port.data(), port.data() + port.size(), e.port);
    if (read.ec != std::errc() || read.ptr != port.data() + port.size() || e.port < 0 ||
        e.port > 65535)
        return std::nullopt;
    e.v6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (e.v6) ip = ip.substr(1, ip.size() - 2);
    e.ip = ip;
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (inet_pton(e.v6 ? AF_INET6 : AF_INET, e.ip.c_str(), bytes.data()) != 1) return std::nullopt;
    return e;
}

std::unique_ptr<Config> parse(std::string_view text, const std::string& file,
                              std::vector<Problem>& problems) {
    const std::size_t before = problems.size();
    auto config = std::make_unique<Config>();
    Collector collector(file, problems);
    pb::TextFormat::ParseInfoTree tree;
    pb::TextFormat::Parser parser;
    parser.RecordErrorsTo(&collector);
    parser.WriteLocationsTo(&tree);
    parser.AllowUnknownField(true);
    parser.AllowPartialMessage(true);
    pb::io::ArrayInputStream stream(text.data(), static_cast<int>(text.size()));
    const bool read = parser.Parse(&stream, config.get());
    std::vector<std::string> missing;
    config->FindInitializationErrors(&missing);
    for (const std::string& field : missing)
        problems.push_back({file, 0, field, "a value"});
    if (!read) return nullptr;
    Checker checker(file, problems, &tree);
    if (!config->has_api())
        checker.problem(&tree, *config, "api", -1, "api.description", "an OpenAPI file");
    check_listen(checker, *config);
    check_peers(checker, *config);
    check_classes(checker, *config);
    check_plans(checker, *config);
    check_hosts(checker, *config);
    check_rules(checker, *config);
    return problems.size() == before ? std::move(config) : nullptr;
}

Settings settings_of(const Config& c) {
    using std::chrono::milliseconds;
    Settings s;
    if (c.has_peers()) s.rank = c.peers().rank(), s.instance_count = c.peers().peer_size();
    s.zone = c.zone();
    for (const RequestClass& k : c.class_())
        for (int effect = 0; effect < effects; ++effect)
            s.classes.push_back({k.name(), static_cast<Idempotency>(effect),
                                 static_cast<DeduplicationScope>(k.repeat_scope()),
                                 milliseconds(k.aim_ms()), milliseconds(k.deadline_ms()),
                                 milliseconds(k.repeat_window_ms()), k.worth(), k.late_worth()});
    for (const Plan& p : c.plan())
        s.plans.push_back({p.name(), p.rate(), p.burst(), p.max_open(), p.worth_factor(),
                           p.excess_worth(), p.excess_cost(), p.hard_rate(), p.hard_burst()});
    s.max_attempts = c.attempts().most();
    s.may_hedge = c.attempts().second_copies();
    s.may_cancel = c.attempts().cancel();
    s.may_send_retry_after = c.attempts().advise_retry();
    s.max_retry_after = milliseconds(c.attempts().max_retry_after_ms());
    s.may_health_check = c.hosts().has_probe_path();
    s.may_message_peers = s.instance_count > 1;
    s.peer_messages_per_second = c.peers().messages_per_s();
    s.load_report_mode = static_cast<LoadReportMode>(c.hosts().reports());
    s.timer_tick = milliseconds(c.rules().tick_ms());
    s.slow_start_window = milliseconds(c.rules().cold_ms());
    s.overload_window = milliseconds(c.rules().fall_ms());
    s.overload_factor = c.rules().fall_multiple();
    s.initial_capacity_share = c.rules().start_capacity();
    s.cross_zone_cost = c.rules().cross_zone_cost();
    return s;
}

int class_index(const Config& config, std::string_view name, Idempotency effect) {
    for (int i = 0; i < config.class__size(); ++i)
        if (config.class_(i).name() == name) return i * effects + static_cast<int>(effect);
    return -1;
}
const RequestClass& class_at(const Config& config, int index) {
    return config.class_(index / effects);
}
int plan_index(const Config& config, std::string_view name) {
    for (int i = 0; i < config.plan_size(); ++i)
        if (config.plan(i).name() == name) return i;
    return -1;
}

openapi::Policy policy_of(const Config& config) {
    openapi::Policy policy;
    for (const RequestClass& k : config.class_())
        policy.classes.insert(k.name());
    policy.reject_unpriced = !config.api().has_unpriced();
    policy.default_class = config.api().unpriced().class_();
    policy.default_units = config.api().unpriced().units();
    return policy;
}

StaticKeyIndex::StaticKeyIndex(const Config& config) {
    for (const auto& a : config.account()) {
        accounts_.push_back({a.name(), plan_index(config, a.plan()), {}});
        for (const std::string& key : a.key())
            by_key_.emplace(key, accounts_.size() - 1);
    }
}
KeyIndex::Found StaticKeyIndex::by_key(std::string_view key) {
    const auto it = by_key_.find(std::string(key));
    if (it == by_key_.end()) return {std::nullopt, "no account has this key"};
    return {accounts_[it->second], {}};
}

}  // namespace silverreach::config

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
constexpr int idempotency_count = 3;  // engine classes per configured class

struct ProblemCollector : pb::io::ErrorCollector {
    const std::string& file;
    std::vector<Problem>& problems;
    ProblemCollector(const std::string& file_name, std::vector<Problem>& problem_list)
        : file(file_name), problems(problem_list) {}
    void AddError(int line, int column, const std::string& message) override {
        problems.push_back({file, line + 1, fmt::format("column {}", column + 1),
                            "valid protobuf text format: " + message});
    }
    // The parser reports unknown fields as warnings and continues, so that all of them are listed.
    void AddWarning(int line, int column, const std::string& message) override {
        problems.push_back(
            {file, line + 1, fmt::format("column {}", column + 1), "a known field: " + message});
    }
};

// Validates messages and reports each problem with the line of its field.
class Validator {
  public:
    Validator(const std::string& file, std::vector<Problem>& problems,
              pb::TextFormat::ParseInfoTree* root)
        : file_(file), problems_(problems), root_(root) {}

    using Tree = pb::TextFormat::ParseInfoTree;
    static Tree* nested_tree(Tree* parent_tree, const pb::Message& message, const char* field,
                             int index) {
        const auto* descriptor = message.GetDescriptor()->FindFieldByName(field);
        return parent_tree && descriptor ? parent_tree->GetTreeForNested(descriptor, index)
                                         : nullptr;
    }
    void report(Tree* parent_tree, const pb::Message& message, const char* field, int index,
                std::string path, std::string expected) {
        const auto* descriptor = message.GetDescriptor()->FindFieldByName(field);
        int line = 0;
        if (parent_tree && descriptor) {
            line =
                parent_tree
                    ->GetLocation(descriptor, descriptor->is_repeated() ? std::max(index, 0) : -1)
                    .line +
                1;
        }
        problems_.push_back({file_, std::max(line, 0), std::move(path), std::move(expected)});
    }
    template <typename Number>
    void require_at_least(Tree* parent_tree, const pb::Message& message, const char* field,
                          const std::string& path, Number value, Number minimum) {
        if (!(value >= minimum) || !std::isfinite(static_cast<double>(value)))
            report(parent_tree, message, field, -1, path + field,
                   fmt::format("{} or more, not {}", minimum, value));
    }
    Tree* root() { return root_; }

  private:
    const std::string& file_;
    std::vector<Problem>& problems_;
    Tree* root_;
};

constexpr std::int64_t min_buffered_bytes = 65536;

void check_listen(Validator& validator, const Config& config) {
    auto* tree = Validator::nested_tree(validator.root(), config, "listen", -1);
    const Listen& listen = config.listen();
    if (!parse_endpoint(listen.address()))
        validator.report(tree, listen, "address", -1, "listen.address",
                         "IP address and port, such as \"127.0.0.1:8080\"");
    validator.require_at_least(tree, listen, "max_connections", "listen.", listen.max_connections(),
                               1);
    validator.require_at_least(tree, listen, "max_target_bytes", "listen.",
                               listen.max_target_bytes(), 16);
    validator.require_at_least(tree, listen, "max_head_bytes", "listen.", listen.max_head_bytes(),
                               256);
    validator.require_at_least(tree, listen, "max_body_bytes", "listen.", listen.max_body_bytes(),
                               0);
    validator.require_at_least(tree, listen, "max_customers", "listen.", listen.max_customers(), 1);
    validator.require_at_least<std::int64_t>(tree, listen, "max_buffered_bytes", "listen.",
                                             listen.max_buffered_bytes(), min_buffered_bytes);
    for (const auto& [name, value] :
         {std::pair{"head_ms", listen.head_ms()}, std::pair{"body_ms", listen.body_ms()},
          std::pair{"idle_ms", listen.idle_ms()}, std::pair{"stalled_ms", listen.stalled_ms()}})
        validator.require_at_least<std::int64_t>(tree, listen, name, "listen.", value, 1);
}

void check_peers(Validator& validator, const Config& config) {
    if (!config.has_peers()) return;
    const Fleet& fleet = config.peers();
    auto* tree = Validator::nested_tree(validator.root(), config, "peers", -1);
    std::set<int> ranks;
    for (int i = 0; i < fleet.peer_size(); ++i) {
        auto* peer_tree = Validator::nested_tree(tree, fleet, "peer", i);
        const std::string path = fmt::format("peers.peer[{}].", i);
        if (!parse_endpoint(fleet.peer(i).address()))
            validator.report(peer_tree, fleet.peer(i), "address", -1, path + "address",
                             "IP address and UDP port");
        if (fleet.peer(i).rank() < 0 || fleet.peer(i).rank() >= fleet.peer_size())
            validator.report(peer_tree, fleet.peer(i), "rank", -1, path + "rank",
                             fmt::format("a rank from 0 to {}, one for each peer listed",
                                         fleet.peer_size() - 1));
        else if (!ranks.insert(fleet.peer(i).rank()).second)
            validator.report(peer_tree, fleet.peer(i), "rank", -1, path + "rank",
                             "a rank that no other peer has");
    }
    if (fleet.peer_size() == 0)
        validator.report(validator.root(), config, "peers", -1, "peers.peer",
                         "every instance of the fleet, including this one");
    else if (fleet.rank() < 0 || fleet.rank() >= fleet.peer_size())
        validator.report(tree, fleet, "rank", -1, "peers.rank",
                         fmt::format("a rank from 0 to {}", fleet.peer_size() - 1));
    validator.require_at_least(tree, fleet, "account_spread", "peers.", fleet.account_spread(), 0);
    validator.require_at_least(tree, fleet, "messages_per_s", "peers.", fleet.messages_per_s(),
                               1.0);
}

void check_classes(Validator& validator, const Config& config) {
    std::set<std::string> names;
    for (int i = 0; i < config.class__size(); ++i) {
        const RequestClass& request_class = config.class_(i);
        auto* tree = Validator::nested_tree(validator.root(), config, "class", i);
        const std::string path = fmt::format("class[{}].", i);
        if (request_class.name().empty() || !names.insert(request_class.name()).second)
            validator.report(tree, request_class, "name", -1, path + "name",
                             "a name that no other class has");
        validator.require_at_least<std::int64_t>(tree, request_class, "aim_ms", path,
                                                 request_class.aim_ms(), 1);
        validator.require_at_least<std::int64_t>(tree, request_class, "deadline_ms", path,
                                                 request_class.deadline_ms(), 1);
        if (request_class.aim_ms() > request_class.deadline_ms())
            validator.report(tree, request_class, "aim_ms", -1, path + "aim_ms",
                             "no more than deadline_ms");
        validator.require_at_least<std::int64_t>(tree, request_class, "repeat_window_ms", path,
                                                 request_class.repeat_window_ms(), 0);
    }
    if (names.empty())
        validator.report(validator.root(), config, "class", -1, "class",
                         "at least one request class");
    if (config.api().has_unpriced() && !names.contains(config.api().unpriced().class_())) {
        auto* api_tree = Validator::nested_tree(validator.root(), config, "api", -1);
        validator.report(Validator::nested_tree(api_tree, config.api(), "unpriced", -1),
                         config.api().unpriced(), "class", -1, "api.unpriced.class",
                         fmt::format("one of {}", fmt::join(names, ", ")));
    }
}

void check_plans(Validator& validator, const Config& config) {
    std::set<std::string> names, accounts, keys;
    for (int i = 0; i < config.plan_size(); ++i) {
        const Plan& plan = config.plan(i);
        auto* tree = Validator::nested_tree(validator.root(), config, "plan", i);
        const std::string path = fmt::format("plan[{}].", i);
        if (plan.name().empty() || !names.insert(plan.name()).second)
            validator.report(tree, plan, "name", -1, path + "name",
                             "a name that no other plan has");
        for (const auto& [name, value] :
             {std::pair{"rate", plan.rate()}, std::pair{"burst", plan.burst()},
              std::pair{"hard_rate", plan.hard_rate()}, std::pair{"hard_burst", plan.hard_burst()},
              std::pair{"excess_worth", plan.excess_worth()},
              std::pair{"excess_cost", plan.excess_cost()},
              std::pair{"worth_factor", plan.worth_factor()}})
            validator.require_at_least(tree, plan, name, path, value, 0.0);
        validator.require_at_least(tree, plan, "max_open", path, plan.max_open(), 0);
        if (plan.rate() > 0 && plan.burst() <= 0)
            validator.report(tree, plan, "rate", -1, path + "burst",
                             "a burst above 0 when a rate is set");
        if (plan.hard_rate() > 0 && plan.hard_burst() <= 0)
            validator.report(tree, plan, "hard_rate", -1, path + "hard_burst",
                             "a hard_burst above 0 when a hard_rate is set");
    }
    if (config.has_registry() && config.account_size() > 0)
        validator.report(validator.root(), config, "account", 0, "account",
                         "either accounts or a registry, not both");
    validator.require_at_least<std::int64_t>(validator.root(), config, "clock_skew_ms", "",
                                             config.clock_skew_ms(), 0);
    if (config.api().has_anonymous_plan() && !names.contains(config.api().anonymous_plan()))
        validator.report(Validator::nested_tree(validator.root(), config, "api", -1), config.api(),
                         "anonymous_plan", -1, "api.anonymous_plan",
                         fmt::format("one of {}", fmt::join(names, ", ")));
    for (int i = 0; i < config.account_size(); ++i) {
        const auto& account = config.account(i);
        auto* tree = Validator::nested_tree(validator.root(), config, "account", i);
        const std::string path = fmt::format("account[{}].", i);
        if (account.name().empty() || !accounts.insert(account.name()).second)
            validator.report(tree, account, "name", -1, path + "name",
                             "a name that no other account has");
        if (!names.contains(account.plan()))
            validator.report(tree, account, "plan", -1, path + "plan",
                             fmt::format("one of {}", fmt::join(names, ", ")));
        for (int k = 0; k < account.key_size(); ++k)
            if (account.key(k).empty() || !keys.insert(account.key(k)).second)
                validator.report(tree, account, "key", k, fmt::format("{}key[{}]", path, k),
                                 "a key that is listed only once");
    }
}

void check_hosts(Validator& validator, const Config& config) {
    const Hosts& hosts = config.hosts();
    auto* tree = Validator::nested_tree(validator.root(), config, "hosts", -1);
    if (hosts.has_file() == hosts.has_discovery())
        validator.report(validator.root(), config, "hosts", -1, "hosts",
                         "either a file or a discovery address");
    if (hosts.has_discovery() && !parse_endpoint(hosts.discovery()))
        validator.report(tree, hosts, "discovery", -1, "hosts.discovery", "IP address and port");
    for (const auto& [name, value] :
         {std::pair{"discovery_ms", hosts.discovery_ms()}, std::pair{"idle_ms", hosts.idle_ms()},
          std::pair{"connect_ms", hosts.connect_ms()}, std::pair{"probe_ms", hosts.probe_ms()}})
        validator.require_at_least<std::int64_t>(tree, hosts, name, "hosts.", value, 1);
    validator.require_at_least(tree, hosts, "max_connections", "hosts.", hosts.max_connections(),
                               1);
    if (hosts.has_probe_path() &&
        openapi::check_path(hosts.probe_path()) != openapi::PathFault::none)
        validator.report(tree, hosts, "probe_path", -1, "hosts.probe_path",
                         "a path that starts with '/'");
    if (hosts.reports() == Hosts::ON_PROBE && !hosts.has_probe_path())
        validator.report(tree, hosts, "reports", -1, "hosts.probe_path",
                         "a path, because reports are read from probes");
}

void check_rules(Validator& validator, const Config& config) {
    const Rules& rules = config.rules();
    auto* rules_tree = Validator::nested_tree(validator.root(), config, "rules", -1);
    validator.require_at_least<std::int64_t>(rules_tree, rules, "tick_ms", "rules.",
                                             rules.tick_ms(), 1);
    validator.require_at_least<std::int64_t>(rules_tree, rules, "cold_ms", "rules.",
                                             rules.cold_ms(), 0);
    validator.require_at_least<std::int64_t>(rules_tree, rules, "fall_ms", "rules.",
                                             rules.fall_ms(), 0);
    validator.require_at_least(rules_tree, rules, "fall_multiple", "rules.", rules.fall_multiple(),
                               0.0);
    if (!(rules.start_capacity() > 0 && rules.start_capacity() <= 1))
        validator.report(rules_tree, rules, "start_capacity", -1, "rules.start_capacity",
                         "a share above 0 and up to 1");
    const Attempts& attempts = config.attempts();
    auto* attempts_tree = Validator::nested_tree(validator.root(), config, "attempts", -1);
    validator.require_at_least(attempts_tree, attempts, "most", "attempts.", attempts.most(), 1);
    if (attempts.most() > 200)
        validator.report(attempts_tree, attempts, "most", -1, "attempts.most", "200 or less");
    for (int i = 0; i < config.host_answers().full_size(); ++i) {
        const auto& full = config.host_answers().full(i);
        auto* answers_tree = Validator::nested_tree(validator.root(), config, "host_answers", -1);
        if (full.status() < 400 || full.status() > 599)
            validator.report(Validator::nested_tree(answers_tree, config.host_answers(), "full", i),
                             full, "status", -1, fmt::format("host_answers.full[{}].status", i),
                             "a status from 400 to 599");
    }
}
}  // namespace

std::string Endpoint::to_string() const {
    return is_ipv6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    Endpoint endpoint;
    std::string_view ip = text.substr(0, colon), port = text.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (result.ec != std::errc() || result.ptr != port.data() + port.size() || endpoint.port < 0 ||
        endpoint.port > 65535)
        return std::nullopt;
    endpoint.is_ipv6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (endpoint.is_ipv6) ip = ip.substr(1, ip.size() - 2);
    endpoint.ip = ip;
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (inet_pton(endpoint.is_ipv6 ? AF_INET6 : AF_INET, endpoint.ip.c_str(), bytes.data()) != 1)
        return std::nullopt;
    return endpoint;
}

std::unique_ptr<Config> parse(std::string_view text, const std::string& file,
                              std::vector<Problem>& problems) {
    const std::size_t problems_before = problems.size();
    auto config = std::make_unique<Config>();
    ProblemCollector problem_collector(file, problems);
    pb::TextFormat::ParseInfoTree tree;
    pb::TextFormat::Parser parser;
    parser.RecordErrorsTo(&problem_collector);
    parser.WriteLocationsTo(&tree);
    parser.AllowUnknownField(true);
    parser.AllowPartialMessage(true);
    pb::io::ArrayInputStream stream(text.data(), static_cast<int>(text.size()));
    const bool is_parsed = parser.Parse(&stream, config.get());
    std::vector<std::string> missing_fields;
    config->FindInitializationErrors(&missing_fields);
    for (const std::string& field : missing_fields)
        problems.push_back({file, 0, field, "a value"});
    if (!is_parsed) return nullptr;
    Validator validator(file, problems, &tree);
    if (!config->has_api())
        validator.report(&tree, *config, "api", -1, "api.description", "an OpenAPI file");
    check_listen(validator, *config);
    check_peers(validator, *config);
    check_classes(validator, *config);
    check_plans(validator, *config);
    check_hosts(validator, *config);
    check_rules(validator, *config);
    return problems.size() == problems_before ? std::move(config) : nullptr;
}

Settings settings_of(const Config& config) {
    using std::chrono::milliseconds;
    Settings settings;
    if (config.has_peers())
        settings.rank = config.peers().rank(), settings.instance_count = config.peers().peer_size();
    settings.zone = config.zone();
    for (const RequestClass& request_class : config.class_())
        for (int idempotency = 0; idempotency < idempotency_count; ++idempotency)
            settings.classes.push_back(
                {request_class.name(), static_cast<Idempotency>(idempotency),
                 static_cast<DeduplicationScope>(request_class.repeat_scope()),
                 milliseconds(request_class.aim_ms()), milliseconds(request_class.deadline_ms()),
                 milliseconds(request_class.repeat_window_ms()), request_class.worth(),
                 request_class.late_worth()});
    for (const Plan& plan : config.plan())
        settings.plans.push_back({plan.name(), plan.rate(), plan.burst(), plan.max_open(),
                                  plan.worth_factor(), plan.excess_worth(), plan.excess_cost(),
                                  plan.hard_rate(), plan.hard_burst()});
    settings.max_customers = static_cast<std::size_t>(config.listen().max_customers());
    settings.max_attempts = config.attempts().most();
    settings.may_hedge = config.attempts().second_copies();
    settings.may_cancel = config.attempts().cancel();
    settings.may_send_retry_after = config.attempts().advise_retry();
    settings.max_retry_after = milliseconds(config.attempts().max_retry_after_ms());
    settings.may_health_check = config.hosts().has_probe_path();
    settings.may_message_peers = settings.instance_count > 1;
    settings.peer_messages_per_second = config.peers().messages_per_s();
    settings.load_report_mode = static_cast<LoadReportMode>(config.hosts().reports());
    settings.timer_tick = milliseconds(config.rules().tick_ms());
    settings.slow_start_window = milliseconds(config.rules().cold_ms());
    settings.overload_window = milliseconds(config.rules().fall_ms());
    settings.overload_factor = config.rules().fall_multiple();
    settings.initial_capacity_share = config.rules().start_capacity();
    settings.cross_zone_cost = config.rules().cross_zone_cost();
    return settings;
}

int class_index(const Config& config, std::string_view name, Idempotency idempotency) {
    for (int i = 0; i < config.class__size(); ++i)
        if (config.class_(i).name() == name)
            return i * idempotency_count + static_cast<int>(idempotency);
    return -1;
}
const RequestClass& class_at(const Config& config, int index) {
    return config.class_(index / idempotency_count);
}
int plan_index(const Config& config, std::string_view name) {
    for (int i = 0; i < config.plan_size(); ++i)
        if (config.plan(i).name() == name) return i;
    return -1;
}

openapi::Policy policy_of(const Config& config) {
    openapi::Policy policy;
    for (const RequestClass& request_class : config.class_())
        policy.classes.insert(request_class.name());
    policy.reject_unpriced = !config.api().has_unpriced();
    policy.default_class = config.api().unpriced().class_();
    policy.default_units = config.api().unpriced().units();
    return policy;
}

StaticKeyIndex::StaticKeyIndex(const Config& config) {
    for (const auto& account : config.account()) {
        accounts_.push_back({account.name(), plan_index(config, account.plan()), {}});
        for (const std::string& key : account.key())
            accounts_by_key_.emplace(key, accounts_.size() - 1);
    }
}
KeyIndex::Found StaticKeyIndex::find_account(std::string_view key) {
    const auto found = accounts_by_key_.find(std::string(key));
    if (found == accounts_by_key_.end()) return {std::nullopt, "no account has this key"};
    return {accounts_[found->second], {}};
}

}  // namespace silverreach::config

#include "openapi/route.h"

#include <algorithm>

namespace silverreach::openapi {
namespace {
int hex_digit_value(char digit) {
    if (digit >= '0' && digit <= '9') return digit - '0';
    if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
    return -1;
}
struct ViewHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>()(text);
    }
};
std::string_view next_segment(std::string_view& path) {
    path.remove_prefix(1);  // the slash
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(end);
    return segment;
}
}  // namespace

std::optional<Method> parse_method(std::string_view name) {
    for (std::size_t i = 0; i < method_names.size(); ++i)
        if (method_names[i] == name) return static_cast<Method>(i);
    return std::nullopt;
}

std::string_view to_string(ParameterLocation location) {
    constexpr std::array<std::string_view, 4> names = {"header", "query", "cookie", "path"};
    return names[static_cast<std::size_t>(location)];
}

// A template segment is literal text around parameter names: "{id}", "{id}.json", "{from}-{to}".
struct RouteTable::Node {
    struct Pattern {
        std::vector<std::string> literals;  // one more than parameter names
        std::unique_ptr<Node> child;
        std::size_t literal_length() const {
            std::size_t length = 0;
            for (const std::string& literal : literals)
                length += literal.size();
            return length;
        }
        // Appends the text between the literals to `values`. Values are not empty; each but the
        // last ends at the first occurrence of the following literal. Where the segment does not
        // match, `values` is unchanged.
        bool match(std::string_view text, std::vector<std::string>& values) const {
            if (text.size() < literals.front().size() || !text.starts_with(literals.front()))
                return false;
            text.remove_prefix(literals.front().size());
            const std::size_t old_size = values.size();
            for (std::size_t i = 1; i < literals.size(); ++i) {
                const bool is_last = i + 1 == literals.size();
                std::size_t value_length = std::string_view::npos;
                if (!is_last)
                    value_length = text.size() < 2 ? value_length : text.find(literals[i], 1);
                else if (text.size() > literals[i].size() && text.ends_with(literals[i]))
                    value_length = text.size() - literals[i].size();
                if (value_length == std::string_view::npos || value_length == 0)
                    return values.resize(old_size), false;
                values.emplace_back(text.substr(0, value_length));
                text.remove_prefix(value_length + literals[i].size());
            }
            return true;
        }
    };
    std::unordered_map<std::string, std::unique_ptr<Node>, ViewHash, std::equal_to<>>
        literal_children;
    std::vector<Pattern> patterns;  // in descending order of literal_length()
    std::array<const Route*, method_names.size()> routes{};
    std::array<std::vector<std::string>, method_names.size()> parameter_names;
    bool has_route() const {
        return std::any_of(routes.begin(), routes.end(),
                           [](const Route* route) { return route != nullptr; });
    }
};

RouteTable::RouteTable() : root_(std::make_unique<Node>()) {}
RouteTable::~RouteTable() = default;

const Route* RouteTable::add(Route route) {
    Node* node = root_.get();
    std::vector<std::string> parameter_names;
    std::string_view path = route.path;
    while (!path.empty()) {
        std::string_view segment = next_segment(path);
        std::vector<std::string> literals(1);
        while (!segment.empty()) {
            const std::size_t open_brace = std::min(segment.find('{'), segment.size());
            literals.back() += segment.substr(0, open_brace);
            segment.remove_prefix(open_brace);
            const std::size_t close_brace = segment.find('}');
            if (segment.empty()) break;
            parameter_names.emplace_back(segment.substr(1, close_brace - 1));
            literals.emplace_back();
            segment.remove_prefix(close_brace + 1);
        }
        if (literals.size() == 1) {
            const auto decoded = decode_segment(literals.front());
            auto& child = node->literal_children[decoded ? *decoded : literals.front()];
            if (!child) child = std::make_unique<Node>();
            node = child.get();
            continue;
        }
        auto position = std::find_if(
            node->patterns.begin(), node->patterns.end(),
            [&](const Node::Pattern& pattern) { return pattern.literals == literals; });
        if (position == node->patterns.end()) {
            Node::Pattern new_pattern{std::move(literals), std::make_unique<Node>()};
            const auto has_more_literal_text = [](const Node::Pattern& left,
                                                  const Node::Pattern& right) {
                return left.literal_length() > right.literal_length();
            };
            position =
                node->patterns.insert(std::upper_bound(node->patterns.begin(), node->patterns.end(),
                                                       new_pattern, has_more_literal_text),
                                      std::move(new_pattern));
        }
        node = position->child.get();
    }
    const auto method_index = static_cast<std::size_t>(route.method);
    if (node->routes[method_index]) return node->routes[method_index];
    routes_.push_back(std::make_unique<Route>(std::move(route)));
    node->routes[method_index] = routes_.back().get();
    node->parameter_names[method_index] = std::move(parameter_names);
    return nullptr;
}

const RouteTable::Node* RouteTable::find_node(const Node& node, std::string_view path,
                                              std::vector<std::string>& values) const {
    if (path.empty()) return node.has_route() ? &node : nullptr;
    const std::string_view raw = next_segment(path);
    std::string decoded;
    std::string_view segment = raw;
    if (raw.find('%') != std::string_view::npos) {
        const auto decoded_segment = decode_segment(raw);
        if (!decoded_segment) return nullptr;
        decoded = *decoded_segment, segment = decoded;
    }
    if (const auto it = node.literal_children.find(segment); it != node.literal_children.end())
        if (const Node* found = find_node(*it->second, path, values)) return found;
    for (const Node::Pattern& pattern : node.patterns) {
        const std::size_t old_size = values.size();
        if (!pattern.match(segment, values)) continue;
        if (const Node* found = find_node(*pattern.child, path, values)) return found;
        values.resize(old_size);
    }
    return nullptr;
}

RouteTable::Match RouteTable::find(Method method, std::string_view path) const {
    Match match;
    std::vector<std::string> values;
    const Node* node =
        path.empty() || path.front() != '/' ? nullptr : find_node(*root_, path, values);
    if (!node) return match;
    match.is_path_known = true;
    const auto index_of = [](Method candidate) { return static_cast<std::size_t>(candidate); };
    auto method_index = index_of(method);
    if (!node->routes[method_index] && method == Method::head) method_index = index_of(Method::get);
    if (node->routes[method_index]) {
        match.route = node->routes[method_index];
        for (std::size_t i = 0; i < values.size(); ++i)
            match.parameters.emplace_back(node->parameter_names[method_index][i],
                                          std::move(values[i]));
        return match;
    }
    for (std::size_t i = 0; i < node->routes.size(); ++i) {
        const auto candidate = static_cast<Method>(i);
        if (node->routes[i] || (candidate == Method::head && node->routes[index_of(Method::get)]))
            match.allowed_methods.push_back(candidate);
    }
    return match;
}

std::optional<std::string> decode_segment(std::string_view segment) {
    std::string decoded;
    for (std::size_t i = 0; i < segment.size(); ++i) {
        if (segment[i] != '%') {
            decoded.push_back(segment[i]);
            continue;
        }
        const int high = i + 2 < segment.size() ? hex_digit_value(segment[i + 1]) : -1;
        const int low = i + 2 < segment.size() ? hex_digit_value(segment[i + 2]) : -1;
        if (high < 0 || low < 0) return std::nullopt;
        const char character = static_cast<char>(high * 16 + low);
        if (character == '/' || character == '\\' || character == '\0') return std::nullopt;
        decoded.push_back(character);
        i += 2;
    }
    return decoded;
}

PathFault check_path(std::string_view path) {
    if (path.empty() || path.front() != '/') return PathFault::not_absolute;
    while (!path.empty()) {
        const std::string_view segment = next_segment(path);
        if (segment.find('\\') != std::string_view::npos) return PathFault::bad_escape;
        const bool is_escaped = segment.find('%') != std::string_view::npos;
        const auto decoded = is_escaped ? decode_segment(segment) : std::nullopt;
        if (is_escaped && !decoded) return PathFault::bad_escape;
        const std::string_view text = is_escaped ? std::string_view(*decoded) : segment;
        if (text == "." || text == "..") return PathFault::dot_segment;
    }
    return PathFault::none;
}

}  // namespace silverreach::openapi

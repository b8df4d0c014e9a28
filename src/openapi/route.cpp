#include "openapi/route.h"

#include <algorithm>

namespace silverreach::openapi {
namespace {
int hex(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
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

std::optional<Method> method_of(std::string_view name) {
    for (std::size_t i = 0; i < method_names.size(); ++i)
        if (method_names[i] == name) return static_cast<Method>(i);
    return std::nullopt;
}

std::string_view to_string(Place place) {
    constexpr std::array<std::string_view, 4> names = {"header", "query", "cookie", "path"};
    return names[static_cast<std::size_t>(place)];
}

// A template segment is literal text around names: "{id}", "{id}.json", "{from}-{to}".
struct RouteTable::Node {
    struct Pattern {
        std::vector<std::string> literals;  // one more than there are names
        std::unique_ptr<Node> next;
        std::size_t fixed() const {
            std::size_t sum = 0;
            for (const std::string& l : literals)
                sum += l.size();
            return sum;
        }
        // The text between the literals, each value not empty; the leftmost fit.
        bool fits(std::string_view text, std::vector<std::string>& values) const {
            if (text.size() < literals.front().size() || !text.starts_with(literals.front()))
                return false;
            text.remove_prefix(literals.front().size());
            const std::size_t before = values.size();
            for (std::size_t i = 1; i < literals.size(); ++i) {
                const bool last = i + 1 == literals.size();
                std::size_t at = std::string_view::npos;
                if (!last)
                    at = text.size() < 2 ? at : text.find(literals[i], 1);
                else if (text.size() > literals[i].size() && text.ends_with(literals[i]))
                    at = text.size() - literals[i].size();
                if (at == std::string_view::npos || at == 0) return values.resize(before), false;
                values.emplace_back(text.substr(0, at));
                text.remove_prefix(at + literals[i].size());
            }
            return true;
        }
    };
    std::unordered_map<std::string, std::unique_ptr<Node>, ViewHash, std::equal_to<>> literals;
    std::vector<Pattern> patterns;  // the most literal first
    std::array<const Route*, method_names.size()> routes{};
    std::array<std::vector<std::string>, method_names.size()> names;
    bool ends() const {
        return std::any_of(routes.begin(), routes.end(),
                           [](const Route* r) { return r != nullptr; });
    }
};

RouteTable::RouteTable() : root_(std::make_unique<Node>()) {}
RouteTable::~RouteTable() = default;

const Route* RouteTable::add(Route route) {
    Node* node = root_.get();
    std::vector<std::string> names;
    std::string_view path = route.path;
    while (!path.empty()) {
        std::string_view segment = next_segment(path);
        std::vector<std::string> literals(1);
        while (!segment.empty()) {
            const std::size_t open = std::min(segment.find('{'), segment.size());
            literals.back() += segment.substr(0, open);
            segment.remove_prefix(open);
            const std::size_t close = segment.find('}');
            if (segment.empty()) break;
            names.emplace_back(segment.substr(1, close - 1));
            literals.emplace_back();
            segment.remove_prefix(close + 1);
        }
        if (literals.size() == 1) {
            const auto decoded = decode_segment(literals.front());
            auto& next = node->literals[decoded ? *decoded : literals.front()];
            if (!next) next = std::make_unique<Node>();
            node = next.get();
            continue;
        }
        auto same = std::find_if(node->patterns.begin(), node->patterns.end(),
                                 [&](const Node::Pattern& p) { return p.literals == literals; });
        if (same == node->patterns.end()) {
            Node::Pattern fresh{std::move(literals), std::make_unique<Node>()};
            const auto less = [](const Node::Pattern& a, const Node::Pattern& b) {
                return a.fixed() > b.fixed();
            };
            same = node->patterns.insert(
                std::upper_bound(node->patterns.begin(), node->patterns.end(), fresh, less),
                std::move(fresh));
        }
        node = same->next.get();
    }
    const auto slot = static_cast<std::size_t>(route.method);
    if (node->routes[slot]) return node->routes[slot];
    routes_.push_back(std::make_unique<Route>(std::move(route)));
    node->routes[slot] = routes_.back().get();
    node->names[slot] = std::move(names);
    return nullptr;
}

const RouteTable::Node* RouteTable::walk(const Node& node, std::string_view path,
                                         std::vector<std::string>& values) const {
    if (path.empty()) return node.ends() ? &node : nullptr;
    const std::string_view raw = next_segment(path);
    std::string decoded;
    std::string_view segment = raw;
    if (raw.find('%') != std::string_view::npos) {
        const auto text = decode_segment(raw);
        if (!text) return nullptr;
        decoded = *text, segment = decoded;
    }
    if (const auto it = node.literals.find(segment); it != node.literals.end())
        if (const Node* found = walk(*it->second, path, values)) return found;
    for (const Node::Pattern& pattern : node.patterns) {
        const std::size_t before = values.size();
        if (!pattern.fits(segment, values)) continue;
        if (const Node* found = walk(*pattern.next, path, values)) return found;
        values.resize(before);
    }
    return nullptr;
}

RouteTable::Found RouteTable::find(Method method, std::string_view path) const {
    Found found;
    std::vector<std::string> values;
    const Node* node = path.empty() || path.front() != '/' ? nullptr : walk(*root_, path, values);
    if (!node) return found;
    found.path_known = true;
    const auto slot_of = [](Method m) { return static_cast<std::size_t>(m); };
    auto slot = slot_of(method);
    if (!node->routes[slot] && method == Method::head) slot = slot_of(Method::get);
    if (node->routes[slot]) {
        found.route = node->routes[slot];
        for (std::size_t i = 0; i < values.size(); ++i)
            found.parameters.emplace_back(node->names[slot][i], std::move(values[i]));
        return found;
    }
    for (std::size_t i = 0; i < node->routes.size(); ++i) {
        const auto m = static_cast<Method>(i);
        if (node->routes[i] || (m == Method::head && node->routes[slot_of(Method::get)]))
            found.allowed.push_back(m);
    }
    return found;
}

std::optional<std::string> decode_segment(std::string_view segment) {
    std::string out;
    for (std::size_t i = 0; i < segment.size(); ++i) {
        if (segment[i] != '%') {
            out.push_back(segment[i]);
            continue;
        }
        const int high = i + 2 < segment.size() ? hex(segment[i + 1]) : -1;
        const int low = i + 2 < segment.size() ? hex(segment[i + 2]) : -1;
        if (high < 0 || low < 0) return std::nullopt;
        const char c = static_cast<char>(high * 16 + low);
        if (c == '/' || c == '\\' || c == '\0') return std::nullopt;
        out.push_back(c);
        i += 2;
    }
    return out;
}

PathFault check_path(std::string_view path) {
    if (path.empty() || path.front() != '/') return PathFault::not_absolute;
    while (!path.empty()) {
        const std::string_view raw = next_segment(path);
        if (raw.find('\\') != std::string_view::npos) return PathFault::bad_escape;
        const bool escaped = raw.find('%') != std::string_view::npos;
        const auto decoded = escaped ? decode_segment(raw) : std::nullopt;
        if (escaped && !decoded) return PathFault::bad_escape;
        const std::string_view text = escaped ? std::string_view(*decoded) : raw;
        if (text == "." || text == "..") return PathFault::dot_segment;
    }
    return PathFault::none;
}

}  // namespace silverreach::openapi

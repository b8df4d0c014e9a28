#include "openapi/document.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace silverreach::openapi {
namespace {
constexpr int max_depth = 64;
constexpr std::size_t max_values = 2'000'000, max_unindexed_members = 16;

// Programs that print a bound with 15 digits round it to above the largest double, which JSON
// allows. Such numbers are in schemas, which no rule of this program uses.
using WideJson = nlohmann::basic_json<std::map, std::vector, std::string, bool, std::int64_t,
                                      std::uint64_t, long double>;

// Checks the grammar of JSON. Returns false, with a problem appended, where it is violated or a
// number cannot be represented.
bool check_json(std::string_view text, const std::string& file, std::vector<Problem>& problems) {
    int line = 0;
    std::string reason;
    try {
        [[maybe_unused]] const auto json = WideJson::parse(text);
        return true;
    } catch (const WideJson::parse_error& error) {
        const auto before_error = text.substr(0, std::min(text.size(), error.byte));
        line = 1 + static_cast<int>(std::count(before_error.begin(), before_error.end(), '\n'));
        reason = error.what();
    } catch (const WideJson::exception& error) {
        reason = error.what();
    }
    problems.push_back({file, line, "document", fmt::format("valid JSON ({})", reason)});
    return false;
}

struct Converter {
    const std::string& file;
    std::vector<Problem>& problems;
    std::size_t value_count = 0;
    bool valid = true;

    bool fail(int line, std::string field, std::string expected) {
        problems.push_back({file, line, std::move(field), std::move(expected)});
        return valid = false;
    }
    bool convert(const YAML::Node& node, Value& into, int depth) {
        into.line = node.Mark().line + 1;
        if (depth > max_depth)
            return fail(into.line, "document",
                        fmt::format("at most {} levels of nesting", max_depth));
        if (++value_count > max_values)
            return fail(into.line, "document",
                        fmt::format("at most {} values, aliases included", max_values));
        switch (node.Type()) {
            case YAML::NodeType::Scalar:
                into.kind = Value::Kind::scalar;
                into.text = node.Scalar();
                into.quoted = node.Tag() == "!";
                return true;
            case YAML::NodeType::Sequence:
                into.kind = Value::Kind::sequence;
                into.items.resize(node.size());
                for (std::size_t i = 0; const auto& item : node)
                    if (!convert(item, into.items[i++], depth + 1) && value_count > max_values)
                        return false;
                return valid;
            case YAML::NodeType::Map:
                return convert_members(node, into, depth);
            default:
                return true;
        }
    }
    bool convert_members(const YAML::Node& node, Value& into, int depth) {
        into.kind = Value::Kind::mapping;
        into.members.reserve(node.size());
        std::unordered_set<std::string> seen_names;
        for (const auto& member : node) {
            const int line = member.first.Mark().line + 1;
            if (!member.first.IsScalar()) {
                fail(line, "mapping", "a scalar key, not a list or a mapping");
                continue;
            }
            const std::string& key = member.first.Scalar();
            if (!seen_names.insert(key).second) {
                fail(line, key, "each key only once in a mapping");
                continue;
            }
            into.members.emplace_back(key, Value());
            Value& value = into.members.back().second;
            convert(member.second, value, depth + 1);
            value.line = line;  // problems are reported at the line of the key
            if (value_count > max_values) return false;
        }
        return valid;
    }
};
}  // namespace

std::string to_string(const Problem& problem) {
    return problem.line > 0
               ? fmt::format("{}:{}: {}: expected {}", problem.file, problem.line, problem.field,
                             problem.expected)
               : fmt::format("{}: {}: expected {}", problem.file, problem.field, problem.expected);
}

const Value* Value::find(std::string_view name) const {
    if (!member_indices_.empty()) {
        const auto it = member_indices_.find(name);
        return it == member_indices_.end() ? nullptr : &members[it->second].second;
    }
    for (const auto& [key, value] : members)
        if (key == name) return &value;
    return nullptr;
}

void Value::build_index() {
    if (members.size() > max_unindexed_members)
        for (std::size_t i = 0; i < members.size(); ++i)
            member_indices_.emplace(members[i].first, i);
    for (Value& item : items)
        item.build_index();
    for (auto& [name, value] : members)
        value.build_index();
}

bool Value::as(bool& out) const {
    if (kind != Kind::scalar || quoted || (text != "true" && text != "false")) return false;
    out = text == "true";
    return true;
}
bool Value::as(double& out) const {
    if (kind != Kind::scalar || quoted) return false;
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
        !std::isfinite(value))
        return false;
    out = value;
    return true;
}

bool parse(std::string_view text, const std::string& file, Value& into,
           std::vector<Problem>& problems) {
    // The YAML parser also reads JSON, because it provides line numbers. A JSON parser first
    // rejects text that is valid YAML but not valid JSON.
    const std::size_t first_character = text.find_first_not_of(" \t\r\n");
    if (first_character != std::string_view::npos &&
        (text[first_character] == '{' || text[first_character] == '['))
        if (!check_json(text, file, problems)) return false;
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() != 1) {
            problems.push_back(
                {file, 0, "document",
                 fmt::format("one YAML or JSON document, not {}", documents.size())});
            return false;
        }
        Converter converter{file, problems};
        const bool valid = converter.convert(documents.front(), into, 0);
        into.build_index();
        return valid;
    } catch (const YAML::Exception& error) {
        problems.push_back(
            {file, error.mark.line + 1, "document", fmt::format("valid YAML ({})", error.msg)});
        return false;
    }
}

}  // namespace silverreach::openapi

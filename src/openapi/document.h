// Parses YAML or JSON into a tree of values with line numbers. Depth and size are limited, so that
// nested aliases cannot exhaust the memory. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace silverreach::openapi {

// One error in a document: its line, the field and what was expected there.
struct Problem {
    std::string file;
    int line = 0;  // from 1; 0: the problem has no line
    std::string field;
    std::string expected;
};
std::string to_string(const Problem& problem);

class Value {
  public:
    enum class Kind {
        null,
        scalar,
        sequence,
        mapping
    };
    Kind kind = Kind::null;
    std::string text;  // of a scalar
    bool quoted = false;
    int line = 0;
    std::vector<Value> items;                            // of a sequence
    std::vector<std::pair<std::string, Value>> members;  // of a mapping, in document order

    // Returns the member of that name; nullptr where it is absent or this is not a mapping.
    const Value* find(std::string_view name) const;
    bool is(Kind expected) const { return kind == expected; }
    // Reads an unquoted `true` or `false`, or an unquoted finite decimal number. Returns false, and
    // leaves `out` unchanged, for any other value.
    bool as(bool& out) const;
    bool as(double& out) const;
    void build_index();  // speeds up find(); called once, after the tree is complete

  private:
    // By name, into `members`; of large mappings only.
    std::unordered_map<std::string_view, std::size_t> member_indices_;
};

// Parses one document. Returns false, with problems appended, where the text is malformed, a
// mapping has a duplicate key, values are nested more than 64 levels deep or there are more than
// 2,000,000 values.
bool parse(std::string_view text, const std::string& file, Value& into,
           std::vector<Problem>& problems);

}  // namespace silverreach::openapi

// A YAML or JSON text as a plain tree with line numbers. Bounded in depth and size, so that aliases
// cannot blow it up. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace silverreach::openapi {

// What is wrong with a text: where, in which field, and what was expected there.
struct Problem {
    std::string file;
    int line = 0;  // from 1; 0: the file as a whole
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
    std::vector<std::pair<std::string, Value>> members;  // of a mapping, in the order of the text

    // The member of that name; nullptr where there is none or this is no mapping.
    const Value* find(std::string_view name) const;
    bool is(Kind expected) const { return kind == expected; }
    // A boolean or a finite number as YAML's core schema has them; false where it is none.
    bool as(bool& out) const;
    bool as(double& out) const;
    void build_index();  // called once when the tree is whole

  private:
    std::unordered_map<std::string_view, std::size_t> member_indices_;  // of large mappings only
};

// Parses one document. Nothing and problems appended where it is malformed, holds a name twice,
// nests deeper than 64 or has more than 2,000,000 values.
bool parse(std::string_view text, const std::string& file, Value& into,
           std::vector<Problem>& problems);

}  // namespace silverreach::openapi

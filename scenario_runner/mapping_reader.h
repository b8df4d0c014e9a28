// Reads the members of one mapping of a scenario file. No I/O.
#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "openapi/document.h"

namespace silverreach::scenario {

// Reads members by name. The destructor reports every member whose name was not requested. All
// references must outlive the reader.
class MappingReader {
  public:
    MappingReader(const openapi::Value& value, std::string field, const std::string& file,
                  std::vector<openapi::Problem>& problems)
        : value_(value), field_(std::move(field)), file_(file), problems_(problems) {
        if (!value.is(openapi::Value::Kind::mapping)) add_problem(value, "", "a mapping");
    }
    ~MappingReader() {
        for (const auto& [name, member] : value_.members)
            if (!known_names_.contains(name)) add_problem(member, name, "a known name");
    }
    const openapi::Value* find(const std::string& name) {
        known_names_.insert(name);
        return value_.find(name);
    }
    void add_problem(const openapi::Value& where, const std::string& name, std::string expected) {
        problems_.push_back(
            {file_, where.line, field_ + (name.empty() ? "" : "." + name), std::move(expected)});
    }
    // The read functions leave `into` unchanged where the member is absent.
    void read(const std::string& name, std::string& into) {
        const openapi::Value* member = find(name);
        if (!member) return;
        if (member->is(openapi::Value::Kind::scalar))
            into = member->text;
        else
            add_problem(*member, name, "text");
    }
    void read(const std::string& name, double& into, double min_value = 0) {
        const openapi::Value* member = find(name);
        if (member && (!member->as(into) || into < min_value))
            add_problem(*member, name, "a number from " + std::to_string(min_value));
    }
    template <typename Integer>
    void read_integer(const std::string& name, Integer& into, double min_value = 0) {
        auto number = static_cast<double>(into);
        read(name, number, min_value);
        into = static_cast<Integer>(number);
    }
    void read_seconds(const std::string& name, std::chrono::microseconds& into) {
        double number = static_cast<double>(into.count()) / 1e6;
        read(name, number);
        into = std::chrono::microseconds(static_cast<std::int64_t>(number * 1e6));
    }
    void read_milliseconds(const std::string& name, std::chrono::microseconds& into) {
        double number = static_cast<double>(into.count()) / 1e3;
        read(name, number);
        into = std::chrono::microseconds(static_cast<std::int64_t>(number * 1e3));
    }
    // Returns the items of a list; no items where the member is absent or not a list.
    const std::vector<openapi::Value>& list(const std::string& name) {
        static const std::vector<openapi::Value> none;
        const openapi::Value* member = find(name);
        if (member && !member->is(openapi::Value::Kind::sequence))
            add_problem(*member, name, "a list");
        return member ? member->items : none;
    }
    void require(const std::string& name) {
        if (!value_.find(name)) add_problem(value_, name, "a value");
    }

  private:
    const openapi::Value& value_;
    std::string field_;
    const std::string& file_;
    std::vector<openapi::Problem>& problems_;
    std::set<std::string> known_names_;
};

}  // namespace silverreach::scenario

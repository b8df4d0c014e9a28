// Reads a mapping of a scenario member by member, and says which names were not known. No I/O.
#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "openapi/document.h"

namespace silverreach::scenario {

// Reads one mapping's members and says which were not known.
class Reader {
  public:
    Reader(const openapi::Value& value, std::string field, const std::string& file,
           std::vector<openapi::Problem>& problems)
        : value_(value), field_(std::move(field)), file_(file), problems_(problems) {
        if (!value.is(openapi::Value::Kind::mapping)) problem(value, "", "a mapping");
    }
    ~Reader() {
        for (const auto& [name, v] : value_.members)
            if (!known_.contains(name)) problem(v, name, "a known name");
    }
    const openapi::Value* find(const std::string& name) {
        known_.insert(name);
        return value_.find(name);
    }
    void problem(const openapi::Value& where, const std::string& name, std::string expected) {
        problems_.push_back(
            {file_, where.line, field_ + (name.empty() ? "" : "." + name), std::move(expected)});
    }
    void read(const std::string& name, std::string& into) {
        const openapi::Value* v = find(name);
        if (!v) return;
        if (v->is(openapi::Value::Kind::scalar))
            into = v->text;
        else
            problem(*v, name, "text");
    }
    void read(const std::string& name, double& into, double least = 0) {
        const openapi::Value* v = find(name);
        if (v && (!v->as(into) || into < least))
            problem(*v, name, "a number from " + std::to_string(least));
    }
    template <typename Whole>
    void read_whole(const std::string& name, Whole& into, double least = 0) {
        auto number = static_cast<double>(into);
        read(name, number, least);
        into = static_cast<Whole>(number);
    }
    void read_seconds(const std::string& name, std::chrono::microseconds& into) {
        double number = static_cast<double>(into.count()) / 1e6;
        read(name, number);
        into = std::chrono::microseconds(static_cast<std::int64_t>(number * 1e6));
    }
    void read_ms(const std::string& name, std::chrono::microseconds& into) {
        double number = static_cast<double>(into.count()) / 1e3;
        read(name, number);
        into = std::chrono::microseconds(static_cast<std::int64_t>(number * 1e3));
    }
    const std::vector<openapi::Value>& list(const std::string& name) {
        static const std::vector<openapi::Value> none;
        const openapi::Value* v = find(name);
        if (v && !v->is(openapi::Value::Kind::sequence)) problem(*v, name, "a list");
        return v ? v->items : none;
    }
    void need(const std::string& name) {
        if (!value_.find(name)) problem(value_, name, "a value");
    }

  private:
    const openapi::Value& value_;
    std::string field_;
    const std::string& file_;
    std::vector<openapi::Problem>& problems_;
    std::set<std::string> known_;
};

}  // namespace silverreach::scenario

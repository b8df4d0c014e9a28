#include <fmt/format.h>
#include <gtest/gtest.h>

#include "openapi/description.h"

using namespace silverreach;
using namespace silverreach::openapi;

namespace {
const std::string header =
    "openapi: 3.1.0\ninfo: {title: t, version: '1'}\nx-silverreach-class: "
    "read\nx-silverreach-units: 1\n";

struct Loaded {
    std::shared_ptr<const Description> description;
    std::vector<Problem> problems;
    const Route* find(Method method, std::string_view path) const {
        return description->table.find(method, path).route;
    }
    bool has_problem(int line, const std::string& text) const {
        for (const Problem& problem : problems)
            if (problem.line == line && to_string(problem).find(text) != std::string::npos)
                return true;
        return false;
    }
};
Loaded load_with(const std::string& text, const Policy& policy = {}) {
    Loaded loaded;
    loaded.description = load(text, "api.yaml", policy, loaded.problems);
    for (const Problem& problem : loaded.problems)
        loaded.description ? void() : void(std::cout << to_string(problem) << "\n");
    return loaded;
}
}  // namespace

// Guards against a number beyond a double that ends the process.
TEST(Document, ANumberBeyondADoubleDoesNotEndTheProcess) {
    const auto description_with = [](const std::string& bound) {
        return R"({"openapi": "3.1.0", "x-silverreach-class": "read", "x-silverreach-units": 1,
 "paths": {"/a": {"get": {"parameters": [{"name": "n", "in": "query",
   "schema": {"type": "number", "maximum": )" +
               bound + "}}]}}}}";
    };
    for (const char* bound : {"1e300", "1.79769313486232e+308", "-1.79769313486232e+308"}) {
        const auto loaded = load_with(description_with(bound));
        ASSERT_TRUE(loaded.description) << bound;
        EXPECT_TRUE(loaded.find(Method::get, "/a")) << bound;
    }
    const auto loaded = load_with(description_with("1e99999"));
    EXPECT_FALSE(loaded.description);
    EXPECT_TRUE(loaded.has_problem(0, "valid JSON"));
    EXPECT_TRUE(loaded.has_problem(0, "1e99999"));
}

TEST(Routes, LiteralsMatchBeforeTemplates) {
    const auto loaded = load_with(header + R"(paths:
  /pets/{id}: {parameters: [{name: id, in: path, required: true}], get: {operationId: one}}
  /pets/mine: {get: {operationId: mine}}
  /pets/mine/toys: {get: {operationId: toys}}
  /pets/{id}/owner: {parameters: [{name: id, in: path, required: true}], get: {operationId: owner}}
  /pets/{id}.json: {parameters: [{name: id, in: path, required: true}], get: {operationId: json}}
  /r/{a}-{b}: {parameters: [{name: a, in: path}, {name: b, in: path}], get: {operationId: range}}
)");
    ASSERT_TRUE(loaded.description);
    EXPECT_EQ(loaded.find(Method::get, "/pets/mine")->operation_id, "mine");
    EXPECT_EQ(loaded.find(Method::get, "/pets/7")->operation_id, "one");
    EXPECT_EQ(loaded.find(Method::get, "/pets/mine/owner")->operation_id, "owner")
        << "no route continues from the literal";
    EXPECT_EQ(loaded.find(Method::get, "/pets/7.json")->operation_id, "json")
        << "templates with more literal text match first";
    const auto range = loaded.description->table.find(Method::get, "/r/1-2-3");
    ASSERT_TRUE(range.route);
    EXPECT_EQ(range.parameters[0].second + "," + range.parameters[1].second, "1,2-3");
    EXPECT_EQ(loaded.find(Method::get, "/pets/%6dine")->operation_id, "mine")
        << "an escaped unreserved character is the same character";
    EXPECT_FALSE(loaded.description->table.find(Method::get, "/pets/").is_path_known);
    EXPECT_FALSE(loaded.description->table.find(Method::get, "//pets/7").is_path_known);
    EXPECT_FALSE(loaded.description->table.find(Method::get, "/pets/7/").is_path_known);
    const auto other = loaded.description->table.find(Method::post, "/pets/mine");
    EXPECT_TRUE(other.is_path_known);
    EXPECT_EQ(other.allowed_methods, (std::vector<Method>{Method::get, Method::head}));
    EXPECT_EQ(loaded.find(Method::head, "/pets/7")->operation_id, "one");
}

TEST(Routes, AmbiguousPathsAreReported) {
    EXPECT_EQ(check_path("/a/../b"), PathFault::dot_segment);
    EXPECT_EQ(check_path("/a/%2e%2E/b"), PathFault::dot_segment);
    EXPECT_EQ(check_path("/a/."), PathFault::dot_segment);
    EXPECT_EQ(check_path("/a%2Fb"), PathFault::bad_escape);
    EXPECT_EQ(check_path("/a%5cb"), PathFault::bad_escape);
    EXPECT_EQ(check_path("/a%00"), PathFault::bad_escape);
    EXPECT_EQ(check_path("/a%4"), PathFault::bad_escape);
    EXPECT_EQ(check_path("/a%zz"), PathFault::bad_escape);
    EXPECT_EQ(check_path("a"), PathFault::not_absolute);
    EXPECT_EQ(check_path("/a/..b/%41"), PathFault::none);
    EXPECT_EQ(decode_segment("%41%"), std::nullopt);
    EXPECT_EQ(decode_segment("x%41"), "xA");
}

TEST(Description, NearestExtensionWinsAndItsOriginIsRecorded) {
    const auto loaded = load_with(header + R"(paths:
  /a:
    x-silverreach-units: 2
    get: {x-silverreach-units: 3}
    put: {x-silverreach-class: write}
  /b: {get: {}}
)");
    ASSERT_TRUE(loaded.description);
    EXPECT_EQ(loaded.find(Method::get, "/a")->units, 3);
    EXPECT_EQ(loaded.find(Method::get, "/a")->units_origin, "operation:8");
    EXPECT_EQ(loaded.find(Method::put, "/a")->units, 2);
    EXPECT_EQ(loaded.find(Method::put, "/a")->request_class, "write");
    EXPECT_EQ(loaded.find(Method::put, "/a")->class_origin, "operation:9");
    EXPECT_EQ(loaded.find(Method::get, "/b")->units_origin, "root:4");
    EXPECT_NE(format_routes(*loaded.description).find("operation:8"), std::string::npos);
}

TEST(Description, EffectDependsOnMethodKeyAndOverride) {
    const auto loaded = load_with(header + R"(paths:
  /a:
    get: {}
    put: {}
    delete: {}
    post: {}
    patch: {x-silverreach-effect: safe}
  /k:
    post: {parameters: [{name: idempotency-key, in: header, required: true}]}
    put: {x-silverreach-effect: unsafe}
)");
    ASSERT_TRUE(loaded.description);
    EXPECT_EQ(loaded.find(Method::get, "/a")->idempotency, Idempotency::idempotent);
    EXPECT_EQ(loaded.find(Method::put, "/a")->idempotency, Idempotency::idempotent);
    EXPECT_EQ(loaded.find(Method::del, "/a")->idempotency, Idempotency::idempotent);
    EXPECT_EQ(loaded.find(Method::post, "/a")->idempotency, Idempotency::non_idempotent);
    EXPECT_EQ(loaded.find(Method::patch, "/a")->idempotency, Idempotency::idempotent);
    EXPECT_EQ(loaded.find(Method::post, "/k")->idempotency, Idempotency::idempotency_key);
    EXPECT_TRUE(loaded.find(Method::post, "/k")->idempotency_key_required);
    EXPECT_EQ(loaded.find(Method::put, "/k")->idempotency, Idempotency::non_idempotent);
    EXPECT_TRUE(load_with(header + "paths: {/a: {post: {x-silverreach-effect: keyed}}}\n")
                    .has_problem(5, "Idempotency-Key"));
}

TEST(Description, BasePathsComeFromServersVariablesAndOverrides) {
    const auto loaded = load_with(header + R"(servers:
  - url: https://{host}/{stage}/
    variables: {host: {default: h}, stage: {default: v1, enum: [v1, v2]}}
paths:
  /a: {get: {}}
  /b: {servers: [{url: /other}], get: {}, put: {servers: [{url: "http://x"}]}}
)");
    ASSERT_TRUE(loaded.description);
    EXPECT_TRUE(loaded.find(Method::get, "/v1/a"));
    EXPECT_TRUE(loaded.find(Method::get, "/v2/a"));
    EXPECT_FALSE(loaded.find(Method::get, "/a"));
    EXPECT_TRUE(loaded.find(Method::get, "/other/b"));
    EXPECT_TRUE(loaded.find(Method::put, "/b"));
    EXPECT_FALSE(
        load_with(header + "servers: [{url: '/{x}'}]\npaths: {/a: {get: {}}}\n").description);
}

TEST(Description, ReferencesResolveWithinTheFileAndCyclesAreReported) {
    const auto loaded = load_with(header + R"(paths:
  /a/{id}: {$ref: '#/components/pathItems/one'}
components:
  pathItems:
    one: {get: {parameters: [{$ref: '#/components/parameters/p'}]}}
  parameters:
    p: {$ref: '#/components/parameters/q'}
    q: {name: id, in: path, required: true, schema: {$ref: '#/components/schemas/self'}}
  schemas:
    self: {properties: {again: {$ref: '#/components/schemas/self'}}}
)");
    ASSERT_TRUE(loaded.description) << "a schema may refer to itself";
    EXPECT_TRUE(loaded.find(Method::get, "/a/7"));
    const auto circular = load_with(header + R"(paths:
  /a: {get: {parameters: [{$ref: '#/components/parameters/p'}, {$ref: 'other.yaml#/x'}, {$ref: '#/no/where'}]}}
components: {parameters: {p: {$ref: '#/components/parameters/q'}, q: {$ref: '#/components/parameters/p'}}}
)");
    EXPECT_FALSE(circular.description);
    EXPECT_EQ(circular.problems.size(), 3u) << "all problems are reported together";
    EXPECT_TRUE(circular.has_problem(6, "circular"));
    EXPECT_TRUE(circular.has_problem(6, "within this file"));
    EXPECT_TRUE(circular.has_problem(6, "'#/no/where' does not exist"));
}

TEST(Description, SecuritySchemesYieldKeyCarriers) {
    const auto loaded = load_with(header + R"(components:
  securitySchemes:
    k: {type: apiKey, in: query, name: key}
    c: {type: apiKey, in: cookie, name: session}
    b: {type: http, scheme: Bearer}
    o: {type: oauth2}
security: [{k: []}, {b: []}]
paths:
  /a: {get: {}}
  /b: {get: {security: [{c: []}, {}]}}
  /c: {get: {security: []}}
)");
    ASSERT_TRUE(loaded.description);
    EXPECT_EQ(loaded.find(Method::get, "/a")->key_carriers,
              (std::vector<Carrier>{{ParameterLocation::query, "key", false},
                                    {ParameterLocation::header, "Authorization", true}}));
    EXPECT_FALSE(loaded.find(Method::get, "/a")->allows_anonymous);
    EXPECT_TRUE(loaded.find(Method::get, "/b")->allows_anonymous);
    EXPECT_TRUE(loaded.find(Method::get, "/c")->allows_anonymous);
    EXPECT_FALSE(load_with(header +
                           "components: {securitySchemes: {o: {type: oauth2}}}\nsecurity: [{o: "
                           "[]}]\npaths: {/a: {get: {}}}\n")
                     .description);
    EXPECT_TRUE(load_with(header + "security: [{nobody: []}]\npaths: {/a: {get: {}}}\n")
                    .has_problem(5, "securitySchemes"));
}

TEST(Description, MissingClassAndUnitsFollowThePolicy) {
    const std::string unpriced =
        "openapi: 3.0.3\npaths: {/a: {get: {}, post: {x-silverreach-units: 4}}}\n";
    Policy strict_policy;
    EXPECT_EQ(load_with(unpriced, strict_policy).problems.size(), 3u)
        << "class missing twice, units once";
    Policy lenient_policy;
    lenient_policy.reject_unpriced = false, lenient_policy.default_class = "bulk",
    lenient_policy.default_units = 5;
    const auto loaded = load_with(unpriced, lenient_policy);
    ASSERT_TRUE(loaded.description);
    EXPECT_EQ(loaded.find(Method::get, "/a")->units, 5);
    EXPECT_EQ(loaded.find(Method::get, "/a")->units_origin, "policy");
    EXPECT_EQ(loaded.find(Method::post, "/a")->request_class, "bulk");
}

TEST(Description, InvalidDescriptionsAreReportedWithLineFieldAndExpectation) {
    Policy policy;
    policy.classes = {"read"};
    EXPECT_TRUE(load_with(header + "paths: {/a: {get: {x-silverreach-class: nope}}}\n", policy)
                    .has_problem(5, "one of read, not 'nope'"));
    EXPECT_TRUE(load_with(header + "paths: {/a: {get: {x-silverreach-units: -1}}}\n")
                    .has_problem(5, "a number from 0"));
    EXPECT_TRUE(load_with(header + "paths: {/a: {get: {x-silverreach-units: '1'}}}\n")
                    .has_problem(5, "a number from 0"));
    EXPECT_TRUE(load_with(header + "paths: {/a: {get: {x-silverreach-unit: 1}}}\n")
                    .has_problem(5, "-units-from or -effect"));
    EXPECT_TRUE(load_with(header + "paths: {a: {get: {}}}\n").has_problem(5, "starts with '/'"));
    EXPECT_TRUE(
        load_with(header + "paths: {'/{a}{b}': {get: {}}}\n").has_problem(5, "text between"));
    EXPECT_TRUE(load_with(header + "paths: {'/{a': {get: {}}}\n").has_problem(5, "'}'"));
    EXPECT_TRUE(
        load_with(header + "paths: {'/{a}': {get: {}}}\n").has_problem(5, "path parameter 'a'"));
    EXPECT_TRUE(load_with(header +
                          "paths:\n  /{a}: {parameters: [{name: a, in: path}], get: {}}\n  /{b}: "
                          "{parameters: [{name: b, in: path}], get: {}}\n")
                    .has_problem(7, "line 6"));
    EXPECT_TRUE(load_with(header + "paths: {/a: {get: {}}}\npaths: {}\n").has_problem(6, "once"));
    EXPECT_TRUE(
        load_with("openapi: 2.0\npaths: {/a: {get: {}}}\n").has_problem(1, "3.0.x or 3.1.x"));
    EXPECT_TRUE(load_with("{\"openapi\": \"3.0.0\",\n\"paths\": {]}").has_problem(2, "valid JSON"));
    EXPECT_TRUE(load_with("a: [").problems[0].expected.find("valid YAML") == 0);
    EXPECT_FALSE(load_with("").description);
    EXPECT_TRUE(
        load_with(header +
                  "paths: {/a: {get: {x-silverreach-units-from: {in: header, name: X-U}}}}\n")
            .has_problem(5, "the operation declares"));
    std::string deeply_nested = "x: ";
    for (int i = 0; i < 100; ++i)
        deeply_nested += "[";
    for (int i = 0; i < 100; ++i)
        deeply_nested += "]";
    EXPECT_NE(load_with(deeply_nested + "\n").problems.at(0).expected.find("64"),
              std::string::npos);
    std::string alias_bomb = "a: &a [x,x,x,x,x,x,x,x,x,x]\n";
    for (char c = 'b'; c < 'j'; ++c)
        alias_bomb += fmt::format("{0}: &{0} [*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1}]\n",
                                  c, static_cast<char>(c - 1));
    EXPECT_NE(load_with(alias_bomb).problems.at(0).expected.find("2000000"), std::string::npos);
}

TEST(Description, JsonDescriptionsAreRead) {
    const auto loaded =
        load_with(R"({"openapi": "3.0.1", "x-silverreach-class": "read", "x-silverreach-units": 1,
 "paths": {"\/a\u002fb": {"get": {"operationId": "x\u00e9"}}}})");
    ASSERT_TRUE(loaded.description);
    ASSERT_TRUE(loaded.find(Method::get, "/a/b"));
    EXPECT_EQ(loaded.find(Method::get, "/a/b")->operation_id, "x\u00e9");
    EXPECT_EQ(loaded.find(Method::get, "/a/b")->line, 2);
}

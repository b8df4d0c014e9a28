#include <fmt/format.h>
#include <gtest/gtest.h>

#include "openapi/description.h"

using namespace silverreach;
using namespace silverreach::openapi;

namespace {
const std::string head =
    "openapi: 3.1.0\ninfo: {title: t, version: '1'}\nx-silverreach-class: "
    "read\nx-silverreach-units: 1\n";

struct Loaded {
    std::shared_ptr<const Description> description;
    std::vector<Problem> problems;
    const Route* find(Method m, std::string_view path) const {
        return description->table.find(m, path).route;
    }
    bool has(int line, const std::string& words) const {
        for (const Problem& p : problems)
            if (p.line == line && to_string(p).find(words) != std::string::npos) return true;
        return false;
    }
};
Loaded read(const std::string& text, const Policy& policy = {}) {
    Loaded l;
    l.description = load(text, "api.yaml", policy, l.problems);
    for (const Problem& p : l.problems)
        l.description ? void() : void(std::cout << to_string(p) << "\n");
    return l;
}
}  // namespace

TEST(Routes, LiteralsGoBeforeTemplatesAndBackAgain) {
    const auto l = read(head + R"(paths:
  /pets/{id}: {parameters: [{name: id, in: path, required: true}], get: {operationId: one}}
  /pets/mine: {get: {operationId: mine}}
  /pets/mine/toys: {get: {operationId: toys}}
  /pets/{id}/owner: {parameters: [{name: id, in: path, required: true}], get: {operationId: owner}}
  /pets/{id}.json: {parameters: [{name: id, in: path, required: true}], get: {operationId: json}}
  /r/{a}-{b}: {parameters: [{name: a, in: path}, {name: b, in: path}], get: {operationId: range}}
)");
    ASSERT_TRUE(l.description);
    EXPECT_EQ(l.find(Method::get, "/pets/mine")->operation, "mine");
    EXPECT_EQ(l.find(Method::get, "/pets/7")->operation, "one");
    EXPECT_EQ(l.find(Method::get, "/pets/mine/owner")->operation, "owner")
        << "the literal leads nowhere here";
    EXPECT_EQ(l.find(Method::get, "/pets/7.json")->operation, "json")
        << "more literal text goes first";
    const auto range = l.description->table.find(Method::get, "/r/1-2-3");
    ASSERT_TRUE(range.route);
    EXPECT_EQ(range.parameters[0].second + "," + range.parameters[1].second, "1,2-3");
    EXPECT_EQ(l.find(Method::get, "/pets/%6dine")->operation, "mine")
        << "escapes of plain characters are the same path";
    EXPECT_FALSE(l.description->table.find(Method::get, "/pets/").path_known);
    EXPECT_FALSE(l.description->table.find(Method::get, "//pets/7").path_known);
    EXPECT_FALSE(l.description->table.find(Method::get, "/pets/7/").path_known);
    const auto other = l.description->table.find(Method::post, "/pets/mine");
    EXPECT_TRUE(other.path_known);
    EXPECT_EQ(other.allowed, (std::vector<Method>{Method::get, Method::head}));
    EXPECT_EQ(l.find(Method::head, "/pets/7")->operation, "one");
}

TEST(Routes, PathsThatProgramsReadDifferentlyAreNamed) {
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

TEST(Description, NearestExtensionWinsAndSaysWhereItCameFrom) {
    const auto l = read(head + R"(paths:
  /a:
    x-silverreach-units: 2
    get: {x-silverreach-units: 3}
    put: {x-silverreach-class: write}
  /b: {get: {}}
)");
    ASSERT_TRUE(l.description);
    EXPECT_EQ(l.find(Method::get, "/a")->units, 3);
    EXPECT_EQ(l.find(Method::get, "/a")->units_origin, "operation:8");
    EXPECT_EQ(l.find(Method::put, "/a")->units, 2);
    EXPECT_EQ(l.find(Method::put, "/a")->request_class, "write");
    EXPECT_EQ(l.find(Method::put, "/a")->class_origin, "operation:9");
    EXPECT_EQ(l.find(Method::get, "/b")->units_origin, "root:4");
    EXPECT_NE(table_text(*l.description).find("operation:8"), std::string::npos);
}

TEST(Description, EffectFollowsTheMethodTheKeyAndTheOverride) {
    const auto l = read(head + R"(paths:
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
    ASSERT_TRUE(l.description);
    EXPECT_EQ(l.find(Method::get, "/a")->effect, Idempotency::idempotent);
    EXPECT_EQ(l.find(Method::put, "/a")->effect, Idempotency::idempotent);
    EXPECT_EQ(l.find(Method::del, "/a")->effect, Idempotency::idempotent);
    EXPECT_EQ(l.find(Method::post, "/a")->effect, Idempotency::non_idempotent);
    EXPECT_EQ(l.find(Method::patch, "/a")->effect, Idempotency::idempotent);
    EXPECT_EQ(l.find(Method::post, "/k")->effect, Idempotency::idempotency_key);
    EXPECT_TRUE(l.find(Method::post, "/k")->key_required);
    EXPECT_EQ(l.find(Method::put, "/k")->effect, Idempotency::non_idempotent);
    EXPECT_TRUE(read(head + "paths: {/a: {post: {x-silverreach-effect: keyed}}}\n")
                    .has(5, "Idempotency-Key"));
}

TEST(Description, ServersVariablesAndOverridesGiveBasePaths) {
    const auto l = read(head + R"(servers:
  - url: https://{host}/{stage}/
    variables: {host: {default: h}, stage: {default: v1, enum: [v1, v2]}}
paths:
  /a: {get: {}}
  /b: {servers: [{url: /other}], get: {}, put: {servers: [{url: "http://x"}]}}
)");
    ASSERT_TRUE(l.description);
    EXPECT_TRUE(l.find(Method::get, "/v1/a"));
    EXPECT_TRUE(l.find(Method::get, "/v2/a"));
    EXPECT_FALSE(l.find(Method::get, "/a"));
    EXPECT_TRUE(l.find(Method::get, "/other/b"));
    EXPECT_TRUE(l.find(Method::put, "/b"));
    EXPECT_FALSE(read(head + "servers: [{url: '/{x}'}]\npaths: {/a: {get: {}}}\n").description);
}

TEST(Description, ReferencesAreFollowedWithinTheFileAndCirclesAreNamed) {
    const auto l = read(head + R"(paths:
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
    ASSERT_TRUE(l.description) << "a schema may refer to itself";
    EXPECT_TRUE(l.find(Method::get, "/a/7"));
    const auto circle = read(head + R"(paths:
  /a: {get: {parameters: [{$ref: '#/components/parameters/p'}, {$ref: 'other.yaml#/x'}, {$ref: '#/no/where'}]}}
components: {parameters: {p: {$ref: '#/components/parameters/q'}, q: {$ref: '#/components/parameters/p'}}}
)");
    EXPECT_FALSE(circle.description);
    EXPECT_EQ(circle.problems.size(), 3u) << "all of them at once";
    EXPECT_TRUE(circle.has(6, "circle"));
    EXPECT_TRUE(circle.has(6, "within this file"));
    EXPECT_TRUE(circle.has(6, "'#/no/where' is none"));
}

TEST(Description, SecurityTellsWhereKeysAre) {
    const auto l = read(head + R"(components:
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
    ASSERT_TRUE(l.description);
    EXPECT_EQ(l.find(Method::get, "/a")->keys,
              (std::vector<Carrier>{{Place::query, "key", false},
                                    {Place::header, "Authorization", true}}));
    EXPECT_FALSE(l.find(Method::get, "/a")->anonymous);
    EXPECT_TRUE(l.find(Method::get, "/b")->anonymous);
    EXPECT_TRUE(l.find(Method::get, "/c")->anonymous);
    EXPECT_FALSE(read(head + "components: {securitySchemes: {o: {type: oauth2}}}\nsecurity: [{o: "
                             "[]}]\npaths: {/a: {get: {}}}\n")
                     .description);
    EXPECT_TRUE(read(head + "security: [{nobody: []}]\npaths: {/a: {get: {}}}\n")
                    .has(5, "securitySchemes"));
}

TEST(Description, MissingCostFollowsThePolicy) {
    const std::string bare =
        "openapi: 3.0.3\npaths: {/a: {get: {}, post: {x-silverreach-units: 4}}}\n";
    Policy strict;
    EXPECT_EQ(read(bare, strict).problems.size(), 3u) << "class twice, cost once";
    Policy lax;
    lax.reject_unpriced = false, lax.default_class = "bulk", lax.default_units = 5;
    const auto l = read(bare, lax);
    ASSERT_TRUE(l.description);
    EXPECT_EQ(l.find(Method::get, "/a")->units, 5);
    EXPECT_EQ(l.find(Method::get, "/a")->units_origin, "policy");
    EXPECT_EQ(l.find(Method::post, "/a")->request_class, "bulk");
}

TEST(Description, BadOnesNameLineFieldAndWhatWasExpected) {
    Policy known;
    known.classes = {"read"};
    EXPECT_TRUE(read(head + "paths: {/a: {get: {x-silverreach-class: nope}}}\n", known)
                    .has(5, "one of read, not 'nope'"));
    EXPECT_TRUE(
        read(head + "paths: {/a: {get: {x-silverreach-units: -1}}}\n").has(5, "a number from 0"));
    EXPECT_TRUE(
        read(head + "paths: {/a: {get: {x-silverreach-units: '1'}}}\n").has(5, "a number from 0"));
    EXPECT_TRUE(read(head + "paths: {/a: {get: {x-silverreach-unit: 1}}}\n")
                    .has(5, "-units-from or -effect"));
    EXPECT_TRUE(read(head + "paths: {a: {get: {}}}\n").has(5, "starts with '/'"));
    EXPECT_TRUE(read(head + "paths: {'/{a}{b}': {get: {}}}\n").has(5, "text between"));
    EXPECT_TRUE(read(head + "paths: {'/{a': {get: {}}}\n").has(5, "'}'"));
    EXPECT_TRUE(read(head + "paths: {'/{a}': {get: {}}}\n").has(5, "path parameter 'a'"));
    EXPECT_TRUE(read(head + "paths:\n  /{a}: {parameters: [{name: a, in: path}], get: {}}\n  /{b}: "
                            "{parameters: [{name: b, in: path}], get: {}}\n")
                    .has(7, "line 6"));
    EXPECT_TRUE(read(head + "paths: {/a: {get: {}}}\npaths: {}\n").has(6, "once"));
    EXPECT_TRUE(read("openapi: 2.0\npaths: {/a: {get: {}}}\n").has(1, "3.0.x or 3.1.x"));
    EXPECT_TRUE(read("{\"openapi\": \"3.0.0\",\n\"paths\": {]}").has(2, "valid JSON"));
    EXPECT_TRUE(read("a: [").problems[0].expected.find("valid YAML") == 0);
    EXPECT_FALSE(read("").description);
    EXPECT_TRUE(
        read(head + "paths: {/a: {get: {x-silverreach-units-from: {in: header, name: X-U}}}}\n")
            .has(5, "the operation declares"));
    std::string deep = "x: ";
    for (int i = 0; i < 100; ++i)
        deep += "[";
    for (int i = 0; i < 100; ++i)
        deep += "]";
    EXPECT_NE(read(deep + "\n").problems.at(0).expected.find("64"), std::string::npos);
    std::string bomb = "a: &a [x,x,x,x,x,x,x,x,x,x]\n";
    for (char c = 'b'; c < 'j'; ++c)
        bomb += fmt::format("{0}: &{0} [*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1},*{1}]\n", c,
                            static_cast<char>(c - 1));
    EXPECT_NE(read(bomb).problems.at(0).expected.find("2000000"), std::string::npos);
}

TEST(Description, JsonIsReadAsYamlIs) {
    const auto l =
        read(R"({"openapi": "3.0.1", "x-silverreach-class": "read", "x-silverreach-units": 1,
 "paths": {"\/a\u002fb": {"get": {"operationId": "x\u00e9"}}}})");
    ASSERT_TRUE(l.description);
    ASSERT_TRUE(l.find(Method::get, "/a/b"));
    EXPECT_EQ(l.find(Method::get, "/a/b")->operation, "x\u00e9");
    EXPECT_EQ(l.find(Method::get, "/a/b")->line, 2);
}

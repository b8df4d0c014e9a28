#include "openapi/description.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace silverreach::openapi {
namespace {
using Kind = Value::Kind;
constexpr std::string_view extension = "x-silverreach-";
constexpr int most_references = 32;
constexpr std::size_t most_bases = 64;

struct Found {  // an extension's value and the level it stands at
    const Value* value = nullptr;
    std::string_view level;
};

class Loader {
  public:
    Loader(const std::string& file, const Policy& policy, std::vector<Problem>& problems)
        : file_(file),
          policy_(policy),
          problems_(problems),
          description_(std::make_shared<Description>()) {}

    std::shared_ptr<const Description> run(const Value& root) {
        const std::size_t before = problems_.size();
        root_ = &root;
        if (!root.is(Kind::mapping))
            return problem(root, "document", "a mapping with 'openapi'"), nullptr;
        const std::string version = scalar(root, "openapi", "");
        if (!version.starts_with("3.0.") && !version.starts_with("3.1."))
            problem(at(root, "openapi"), "openapi",
                    fmt::format("a version 3.0.x or 3.1.x, not '{}'", version));
        if (const Value* info = root.find("info")) {
            description_->title = scalar(*info, "title", "");
            description_->version = scalar(*info, "version", "");
        }
        read_schemes();
        check_extensions(root, "");
        const std::vector<std::string> bases = read_servers(root, {""}, "servers");
        const Value* paths = root.find("paths");
        if (!paths || !paths->is(Kind::mapping)) {
            // 3.1 lets a description hold webhooks or components alone; a gateway then has nothing
            // to route.
            problem(paths ? *paths : root, "paths", "a mapping of path to operations");
        } else {
            for (const auto& [path, item] : paths->members)
                if (!path.starts_with("x-")) read_path(path, item, bases);
        }
        if (problems_.size() == before && description_->table.routes().empty())
            problem(root, "paths", "at least one operation");
        return problems_.size() == before ? description_ : nullptr;
    }

  private:
    static const Value& at(const Value& parent, std::string_view name) {
        const Value* value = parent.find(name);
        return value ? *value : parent;
    }
    void problem(const Value& where, std::string field, std::string expected) {
        problems_.push_back({file_, where.line, std::move(field), std::move(expected)});
    }
    std::string scalar(const Value& parent, std::string_view name, std::string fallback) {
        const Value* value = parent.find(name);
        if (!value) return fallback;
        if (value->is(Kind::scalar)) return value->text;
        problem(*value, std::string(name), "text");
        return fallback;
    }

    // Follows $ref within this file; nullptr and a problem where it leads nowhere, outside or round
    // in a circle.
    const Value* resolve(const Value& value, const std::string& field) {
        const Value* now = &value;
        for (int steps = 0; steps < most_references; ++steps) {
            const Value* ref = now->find("$ref");
            if (!ref) return now;
            if (!ref->is(Kind::scalar) || !ref->text.starts_with('#')) {
                problem(*ref, field + ".$ref", "a reference within this file ('#/...')");
                return nullptr;
            }
            const Value* target = pointer(std::string_view(ref->text).substr(1));
            if (!target) {
                problem(*ref, field + ".$ref",
                        fmt::format("a place in this file, '{}' is none", ref->text));
                return nullptr;
            }
            now = target;
        }
        problem(value, field + ".$ref", "a reference that ends; this one goes round in a circle");
        return nullptr;
    }
    // RFC 6901.
    const Value* pointer(std::string_view path) const {
        const Value* now = root_;
        while (!path.empty() && now) {
            if (path.front() != '/') return nullptr;
            path.remove_prefix(1);
            const std::size_t end = std::min(path.find('/'), path.size());
            std::string token = decode_pointer(path.substr(0, end));
            path.remove_prefix(end);
            if (now->is(Kind::sequence)) {
                const bool digits = !token.empty() && token.size() < 9 &&
                                    std::all_of(token.begin(), token.end(),
                                                [](char c) { return c >= '0' && c <= '9'; });
                const std::size_t i = digits ? std::stoul(token) : now->items.size();
                now = i < now->items.size() ? &now->items[i] : nullptr;
            } else {
                now = now->find(token);
            }
        }
        return now;
    }
    static std::string decode_pointer(std::string_view token) {
        std::string out;
        for (std::size_t i = 0; i < token.size(); ++i) {
            if (token[i] == '~' && i + 1 < token.size() &&
                (token[i + 1] == '0' || token[i + 1] == '1'))
                out.push_back(token[++i] == '0' ? '~' : '/');
            else if (token[i] == '%' && i + 2 < token.size()) {
                const auto decoded = decode_segment(token.substr(i, 3));
                out += decoded                                                        ? *decoded
                       : (token.substr(i, 3) == "%2F" || token.substr(i, 3) == "%2f") ? "/"
                                                                                      : "";
                i += 2;
            } else
                out.push_back(token[i]);
        }
        return out;
    }

    // ---- servers
    // -----------------------------------------------------------------------------------------

    std::vector<std::string> read_servers(const Value& owner, std::vector<std::string> inherited,
                                          const std::string& field) {
        const Value* servers = owner.find("servers");
        if (!servers) return inherited;
        if (!servers->is(Kind::sequence)) return problem(*servers, field, "a list"), inherited;
        std::vector<std::string> bases;
        for (const Value& server : servers->items) {
            const Value* url = server.find("url");
            if (!url || !url->is(Kind::scalar)) {
                problem(server, field + "[].url", "the server's URL");
                continue;
            }
            for (std::string& base : expand(server, url->text, field)) {
                strip_authority(base);
                const bool plain = base.empty() || check_path(base) == PathFault::none;
                if (!plain || base.find_first_of("{}?#") != std::string::npos)
                    problem(*url, field + "[].url",
                            fmt::format("a URL whose path is plain, not '{}'", base));
                else if (std::find(bases.begin(), bases.end(), base) == bases.end())
                    bases.push_back(base);
            }
        }
        if (bases.empty()) bases.emplace_back("");  // an empty list counts as [{url: /}]
        return bases;
    }
    static void strip_authority(std::string& url) {
        if (const std::size_t scheme = url.find("://"); scheme != std::string::npos) {
            const std::size_t path = url.find('/', scheme + 3);
            url = path == std::string::npos ? "" : url.substr(path);
        }
        while (!url.empty() && url.back() == '/')
            url.pop_back();
        if (!url.empty() && url.front() != '/') url.insert(0, "/");
    }
    // A URL for each value that its variables can take: `enum` where given, else the default.
    std::vector<std::string> expand(const Value& server, const std::string& url,
                                    const std::string& field) {
        std::vector<std::string> urls{url};
        std::size_t from = 0;
        while (true) {
            const std::size_t open = urls.front().find('{', from);
            if (open == std::string::npos) return urls;
            const std::size_t close = urls.front().find('}', open);
            if (close == std::string::npos)
                return problem(server, field + "[].url", "a '}' for each '{'"), urls;
            const std::string braces = urls.front().substr(open, close - open + 1);
            const std::string name = braces.substr(1, braces.size() - 2);
            const Value* variables = server.find("variables");
            const Value* variable = variables ? variables->find(name) : nullptr;
            std::vector<std::string> values;
            if (const Value* list = variable ? variable->find("enum") : nullptr)
                for (const Value& item : list->items)
                    values.push_back(item.text);
            else if (const Value* fallback = variable ? variable->find("default") : nullptr)
                values.push_back(fallback->text);
            if (values.empty()) {
                problem(server, fmt::format("{}[].variables.{}", field, name),
                        "a default or an enum");
                values.emplace_back("x");
            }
            std::vector<std::string> next;
            for (const std::string& base : urls)
                for (const std::string& value : values) {
                    std::string text = base;
                    for (std::size_t i = text.find(braces); i != std::string::npos;
                         i = text.find(braces, i))
                        text.replace(i, braces.size(), value), i += value.size();
                    next.push_back(std::move(text));
                }
            if (next.size() > most_bases) {
                problem(server, field,
                        fmt::format("{} URLs at most from its variables", most_bases));
                return {""};
            }
            urls = std::move(next);
            from = 0;
            if (std::any_of(values.begin(), values.end(),
                            [](const std::string& v) { return v.find('{') != std::string::npos; }))
                return problem(server, fmt::format("{}[].variables.{}", field, name),
                               "values without braces"),
                       urls;
        }
    }

    // ---- security
    // ----------------------------------------------------------------------------------------

    void read_schemes() {
        const Value* components = root_->find("components");
        const Value* schemes = components ? components->find("securitySchemes") : nullptr;
        if (!schemes) return;
        for (const auto& [name, raw] : schemes->members) {
            const std::string field = "components.securitySchemes." + name;
            const Value* scheme = resolve(raw, field);
            if (!scheme) continue;
            const std::string type = scalar(*scheme, "type", "");
            Carrier carrier;
            if (type == "apiKey") {
                const std::string in = scalar(*scheme, "in", "");
                carrier.name = scalar(*scheme, "name", "");
                if (in == "header")
                    carrier.place = Place::header;
                else if (in == "query")
                    carrier.place = Place::query;
                else if (in == "cookie")
                    carrier.place = Place::cookie;
                else
                    problem(at(*scheme, "in"), field + ".in", "header, query or cookie");
                if (carrier.name.empty())
                    problem(*scheme, field + ".name", "the name that carries the key");
                schemes_[name] = carrier;
            } else if (type == "http") {
                std::string how = scalar(*scheme, "scheme", "");
                std::transform(how.begin(), how.end(), how.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                carrier.name = "Authorization", carrier.bearer = true;
                schemes_[name] = how == "bearer" ? std::optional(carrier) : std::nullopt;
            } else if (type == "oauth2" || type == "openIdConnect" || type == "mutualTLS") {
                schemes_[name] = std::nullopt;
            } else {
                problem(at(*scheme, "type"), field + ".type",
                        "apiKey, http, mutualTLS, oauth2 or openIdConnect");
            }
        }
    }

    void read_security(const Value& operation, Route& route, const std::string& field) {
        const Value* security = operation.find("security");
        if (!security) security = root_->find("security");
        if (!security) return;
        if (!security->is(Kind::sequence)) return problem(*security, field + ".security", "a list");
        route.anonymous = security->items.empty();
        for (const Value& alternative : security->items) {
            if (alternative.members.empty()) route.anonymous = true;
            std::optional<Carrier> usable;
            for (const auto& [name, scopes] : alternative.members) {
                const auto it = schemes_.find(name);
                if (it == schemes_.end())
                    problem(scopes, fmt::format("{}.security.{}", field, name),
                            "a name of components.securitySchemes");
                else if (it->second && !usable)
                    usable = it->second;
            }
            if (usable &&
                std::find(route.keys.begin(), route.keys.end(), *usable) == route.keys.end())
                route.keys.push_back(*usable);
        }
        if (!route.anonymous && route.keys.empty())
            problem(*security, field + ".security",
                    "an apiKey or http bearer scheme among the alternatives");
    }

    // ---- operations
    // --------------------------------------------------------------------------------------

    struct Parameter {
        Carrier carrier;
        bool required = false;
    };
    using Parameters = std::map<std::pair<std::string, std::string>, Parameter>;  // by (in, name)

    void read_parameters(const Value& owner, Parameters& into, const std::string& field) {
        const Value* list = owner.find("parameters");
        if (!list) return;
        if (!list->is(Kind::sequence)) return problem(*list, field + ".parameters", "a list");
        for (const Value& raw : list->items) {
            const Value* parameter = resolve(raw, field + ".parameters[]");
            if (!parameter) continue;
            const std::string name = scalar(*parameter, "name", ""),
                              in = scalar(*parameter, "in", "");
            static const std::map<std::string, Place> places = {{"header", Place::header},
                                                                {"query", Place::query},
                                                                {"cookie", Place::cookie},
                                                                {"path", Place::path}};
            const auto place = places.find(in);
            if (name.empty() || place == places.end()) {
                problem(*parameter, field + ".parameters[]",
                        "a name, and in: header, query, cookie or path");
                continue;
            }
            Parameter p{{place->second, name, false}, false};
            if (const Value* required = parameter->find("required");
                required && !required->as(p.required))
                problem(*required, field + ".parameters[].required", "true or false");
            into[{in, lower_if_header(in, name)}] = p;
        }
    }
    static std::string lower_if_header(const std::string& in, std::string name) {
        if (in == "header")
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
        return name;
    }

    void read_path(const std::string& path, const Value& raw,
                   const std::vector<std::string>& bases) {
        const Value* item = resolve(raw, path);
        if (!item) return;
        if (!item->is(Kind::mapping)) return problem(raw, path, "a mapping of method to operation");
        std::vector<std::string> names;
        if (!check_template(path, raw, names)) return;
        check_extensions(*item, path);
        Parameters shared;
        read_parameters(*item, shared, path);
        const std::vector<std::string> path_bases = read_servers(*item, bases, path + ".servers");
        for (std::size_t i = 0; i < method_names.size(); ++i) {
            std::string key(method_names[i]);
            std::transform(key.begin(), key.end(), key.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const Value* operation = item->find(key);
            if (!operation) continue;
            const std::string field = fmt::format("{} {}", method_names[i], path);
            if (!operation->is(Kind::mapping)) {
                problem(*operation, field, "an operation");
                continue;
            }
            Parameters parameters = shared;
            read_parameters(*operation, parameters, field);
            for (const std::string& name : names)
                if (!parameters.contains({"path", name}))
                    problem(*operation, field,
                            fmt::format("a path parameter '{}' among its parameters", name));
            read_operation(static_cast<Method>(i), path, *item, *operation, parameters,
                           read_servers(*operation, path_bases, field + ".servers"), field);
        }
    }

    bool check_template(const std::string& path, const Value& where,
                        std::vector<std::string>& names) {
        if (path.empty() || path.front() != '/')
            return problem(where, path, "a path that starts with '/'"), false;
        std::size_t open = std::string::npos;
        std::size_t after_close = std::string::npos;
        for (std::size_t i = 0; i < path.size(); ++i) {
            const bool inside = open != std::string::npos;
            if (path[i] == '{') {
                if (inside || after_close == i)
                    return problem(where, path, "names in braces with text between them"), false;
                open = i;
            } else if (path[i] == '}') {
                if (!inside || open + 1 == i)
                    return problem(where, path, "a name in each pair of braces"), false;
                names.push_back(path.substr(open + 1, i - open - 1));
                open = std::string::npos, after_close = i + 1;
            } else if (path[i] == '/' && inside) {
                return problem(where, path, "braces that close within their segment"), false;
            }
        }
        if (open != std::string::npos) return problem(where, path, "a '}' for each '{'"), false;
        if (path.find_first_of("?#") != std::string::npos)
            return problem(where, path, "a path without query or fragment"), false;
        std::vector<std::string> sorted = names;
        std::sort(sorted.begin(), sorted.end());
        if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
            return problem(where, path, "each name once in a path"), false;
        return true;
    }

    void check_extensions(const Value& owner, const std::string& field) {
        for (const auto& [name, value] : owner.members)
            if (name.starts_with(extension) && name != "x-silverreach-class" &&
                name != "x-silverreach-units" && name != "x-silverreach-units-from" &&
                name != "x-silverreach-effect")
                problem(value, field.empty() ? name : fmt::format("{}.{}", field, name),
                        "x-silverreach-class, -units, -units-from or -effect");
    }
    Found nearest(std::string_view name, const Value& operation, const Value& item) const {
        const std::string full = std::string(extension) + std::string(name);
        if (const Value* value = operation.find(full)) return {value, "operation"};
        if (const Value* value = item.find(full)) return {value, "path"};
        if (const Value* value = root_->find(full)) return {value, "root"};
        return {};
    }
    static std::string origin(const Found& found) {
        return fmt::format("{}:{}", found.level, found.value->line);
    }

    void read_operation(Method method, const std::string& path, const Value& item,
                        const Value& operation, const Parameters& parameters,
                        const std::vector<std::string>& bases, const std::string& field) {
        Route route;
        route.method = method, route.line = operation.line;
        route.operation = scalar(operation, "operationId", "");
        check_extensions(operation, field);
        read_class(route, operation, item, field);
        read_units(route, operation, item, parameters, field);
        read_effect(route, operation, item, parameters, field);
        read_security(operation, route, field);
        for (const std::string& base : bases) {
            Route placed = route;
            placed.path = base + path;
            if (const Route* same = description_->table.add(std::move(placed)))
                problem(operation, field,
                        fmt::format("another path; the same one stands at line {} as {}",
                                    same->line, same->path));
        }
    }

    void read_class(Route& route, const Value& operation, const Value& item,
                    const std::string& field) {
        const Found found = nearest("class", operation, item);
        if (!found.value) {
            if (policy_.reject_unpriced)
                return problem(operation, field,
                               "a class (x-silverreach-class here, on the path or the root)");
            route.request_class = policy_.default_class, route.class_origin = "policy";
            return;
        }
        route.request_class = found.value->text, route.class_origin = origin(found);
        if (!found.value->is(Kind::scalar) || route.request_class.empty())
            problem(*found.value, field + " x-silverreach-class", "a class name");
        else if (!policy_.classes.empty() && !policy_.classes.contains(route.request_class))
            problem(*found.value, field + " x-silverreach-class",
                    fmt::format("one of {}, not '{}'", fmt::join(policy_.classes, ", "),
                                route.request_class));
    }

    void read_units(Route& route, const Value& operation, const Value& item,
                    const Parameters& parameters, const std::string& field) {
        const Found fixed = nearest("units", operation, item);
        const Found from = nearest("units-from", operation, item);
        if (fixed.value) {
            route.units_origin = origin(fixed);
            if (!fixed.value->as(route.units) || route.units < 0 ||
                route.units > policy_.most_units)
                problem(*fixed.value, field + " x-silverreach-units",
                        fmt::format("a number from 0 to {}", policy_.most_units));
        } else if (policy_.reject_unpriced) {
            problem(operation, field, "a cost (x-silverreach-units here, on the path or the root)");
        } else {
            route.units = policy_.default_units, route.units_origin = "policy";
        }
        if (!from.value) return;
        const Value* in = from.value->find("in");
        const Value* name = from.value->find("name");
        const std::string place = in ? in->text : "";
        if (!name || (place != "header" && place != "query" && place != "path"))
            return problem(*from.value, field + " x-silverreach-units-from",
                           "{in: header|query|path, name: NAME}");
        const auto it = parameters.find({place, lower_if_header(place, name->text)});
        if (it == parameters.end())
            return problem(
                *from.value, field + " x-silverreach-units-from",
                fmt::format("a {} parameter '{}' that the operation declares", place, name->text));
        route.units_from = it->second.carrier;
        route.units_origin += fmt::format("; {} {} {}", place, name->text, origin(from));
    }

    // RFC 9110: safe methods and idempotent ones may be repeated; with a key the hosts drop
    // repeats; the rest must not run twice.
    void read_effect(Route& route, const Value& operation, const Value& item,
                     const Parameters& parameters, const std::string& field) {
        const auto key = parameters.find({"header", "idempotency-key"});
        const bool has_key = key != parameters.end();
        route.key_required = has_key && key->second.required;
        const bool repeatable = route.method != Method::post && route.method != Method::patch;
        route.effect = repeatable ? Idempotency::idempotent
                       : has_key  ? Idempotency::idempotency_key
                                  : Idempotency::non_idempotent;
        route.effect_origin = repeatable ? "method" : has_key ? "Idempotency-Key" : "method";
        const Found found = nearest("effect", operation, item);
        if (!found.value) return;
        route.effect_origin = origin(found);
        if (found.value->text == "safe")
            route.effect = Idempotency::idempotent;
        else if (found.value->text == "unsafe")
            route.effect = Idempotency::non_idempotent;
        else if (found.value->text == "keyed" && has_key)
            route.effect = Idempotency::idempotency_key;
        else if (found.value->text == "keyed")
            problem(*found.value, field + " x-silverreach-effect",
                    "a header parameter Idempotency-Key beside 'keyed'; hosts drop repeats by it");
        else
            problem(*found.value, field + " x-silverreach-effect", "safe, keyed or unsafe");
    }

    const std::string& file_;
    const Policy& policy_;
    std::vector<Problem>& problems_;
    std::shared_ptr<Description> description_;
    const Value* root_ = nullptr;
    std::map<std::string, std::optional<Carrier>>
        schemes_;  // nothing: known, but no key to be read from it
};

std::string carriers_text(const Route& route) {
    std::string out;
    for (const Carrier& c : route.keys)
        out += (out.empty() ? "" : ", ") +
               (c.bearer ? "bearer" : fmt::format("{} {}", to_string(c.place), c.name));
    if (route.anonymous) out += out.empty() ? "none" : ", or none";
    return out;
}
}  // namespace

std::shared_ptr<const Description> load(std::string_view text, const std::string& file,
                                        const Policy& policy, std::vector<Problem>& problems) {
    Value root;
    if (!parse(text, file, root, problems)) return nullptr;
    return Loader(file, policy, problems).run(root);
}

std::string table_text(const Description& description) {
    constexpr std::array<std::string_view, 3> effects = {"safe", "keyed", "unsafe"};
    std::vector<std::array<std::string, 7>> rows = {
        {"METHOD", "PATH", "CLASS", "UNITS", "EFFECT", "KEY", "FROM"}};
    for (const auto& r : description.table.routes())
        rows.push_back({std::string(method_names[static_cast<std::size_t>(r->method)]), r->path,
                        r->request_class, fmt::format("{:g}{}", r->units, r->units_from ? "*" : ""),
                        std::string(effects[static_cast<std::size_t>(r->effect)]),
                        carriers_text(*r),
                        fmt::format("class {}, units {}, effect {}", r->class_origin,
                                    r->units_origin, r->effect_origin)});
    std::array<std::size_t, 7> widths{};
    for (const auto& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string out;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            out += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
        out += '\n';
    }
    return out;
}

}  // namespace silverreach::openapi

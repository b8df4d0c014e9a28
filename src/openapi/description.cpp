#include "openapi/description.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace silverreach::openapi {
namespace {
using Kind = Value::Kind;
constexpr std::string_view extension_prefix = "x-silverreach-";
constexpr int max_references = 32;
constexpr std::size_t max_base_paths = 64;

// The value of an extension and the level at which it is set.
struct ExtensionValue {
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

    std::shared_ptr<const Description> load(const Value& root) {
        const std::size_t problems_before = problems_.size();
        root_ = &root;
        if (!root.is(Kind::mapping))
            return add_problem(root, "document", "a mapping with the key 'openapi'"), nullptr;
        const std::string version = read_scalar(root, "openapi", "");
        if (!version.starts_with("3.0.") && !version.starts_with("3.1."))
            add_problem(member_or_parent(root, "openapi"), "openapi",
                        fmt::format("version 3.0.x or 3.1.x, not '{}'", version));
        if (const Value* info = root.find("info")) {
            description_->title = read_scalar(*info, "title", "");
            description_->version = read_scalar(*info, "version", "");
        }
        read_security_schemes();
        check_extensions(root, "");
        const std::vector<std::string> base_paths = read_servers(root, {""}, "servers");
        const Value* paths = root.find("paths");
        if (!paths || !paths->is(Kind::mapping)) {
            // OpenAPI 3.1 allows a description with webhooks or components only; it has no routes
            // for a gateway.
            add_problem(paths ? *paths : root, "paths", "a mapping of paths to path items");
        } else {
            for (const auto& [path, item] : paths->members)
                if (!path.starts_with("x-")) read_path(path, item, base_paths);
        }
        if (problems_.size() == problems_before && description_->table.routes().empty())
            add_problem(root, "paths", "at least one operation");
        return problems_.size() == problems_before ? description_ : nullptr;
    }

  private:
    static const Value& member_or_parent(const Value& parent, std::string_view name) {
        const Value* value = parent.find(name);
        return value ? *value : parent;
    }
    void add_problem(const Value& where, std::string field, std::string expected) {
        problems_.push_back({file_, where.line, std::move(field), std::move(expected)});
    }
    std::string read_scalar(const Value& parent, std::string_view name, std::string fallback) {
        const Value* value = parent.find(name);
        if (!value) return fallback;
        if (value->is(Kind::scalar)) return value->text;
        add_problem(*value, std::string(name), "text");
        return fallback;
    }

    // Follows $ref within this file. Returns nullptr and adds a problem where a reference has no
    // target, points to another file, or belongs to a chain that is circular or longer than
    // max_references.
    const Value* resolve_reference(const Value& value, const std::string& field) {
        const Value* current = &value;
        for (int steps = 0; steps < max_references; ++steps) {
            const Value* reference = current->find("$ref");
            if (!reference) return current;
            if (!reference->is(Kind::scalar) || !reference->text.starts_with('#')) {
                add_problem(*reference, field + ".$ref", "a reference within this file ('#/...')");
                return nullptr;
            }
            const Value* target = resolve_pointer(std::string_view(reference->text).substr(1));
            if (!target) {
                add_problem(*reference, field + ".$ref",
                            fmt::format("a reference to an existing value; '{}' does not exist",
                                        reference->text));
                return nullptr;
            }
            current = target;
        }
        add_problem(value, field + ".$ref",
                    "a reference that ends; this chain of references is circular or too long");
        return nullptr;
    }
    // Resolves a JSON pointer (RFC 6901); nullptr where it has no target.
    const Value* resolve_pointer(std::string_view path) const {
        const Value* current = root_;
        while (!path.empty() && current) {
            if (path.front() != '/') return nullptr;
            path.remove_prefix(1);
            const std::size_t end = std::min(path.find('/'), path.size());
            std::string token = decode_pointer_token(path.substr(0, end));
            path.remove_prefix(end);
            if (current->is(Kind::sequence)) {
                const bool is_index = !token.empty() && token.size() < 9 &&
                                      std::all_of(token.begin(), token.end(), [](char character) {
                                          return character >= '0' && character <= '9';
                                      });
                const std::size_t index = is_index ? std::stoul(token) : current->items.size();
                current = index < current->items.size() ? &current->items[index] : nullptr;
            } else {
                current = current->find(token);
            }
        }
        return current;
    }
    static std::string decode_pointer_token(std::string_view token) {
        std::string decoded;
        for (std::size_t i = 0; i < token.size(); ++i) {
            if (token[i] == '~' && i + 1 < token.size() &&
                (token[i + 1] == '0' || token[i + 1] == '1'))
                decoded.push_back(token[++i] == '0' ? '~' : '/');
            else if (token[i] == '%' && i + 2 < token.size()) {
                const auto unescaped = decode_segment(token.substr(i, 3));
                decoded += unescaped ? *unescaped
                           : (token.substr(i, 3) == "%2F" || token.substr(i, 3) == "%2f") ? "/"
                                                                                          : "";
                i += 2;
            } else
                decoded.push_back(token[i]);
        }
        return decoded;
    }

    // ---- servers ----

    std::vector<std::string> read_servers(const Value& owner, std::vector<std::string> inherited,
                                          const std::string& field) {
        const Value* servers = owner.find("servers");
        if (!servers) return inherited;
        if (!servers->is(Kind::sequence)) return add_problem(*servers, field, "a list"), inherited;
        std::vector<std::string> base_paths;
        for (const Value& server : servers->items) {
            const Value* url = server.find("url");
            if (!url || !url->is(Kind::scalar)) {
                add_problem(server, field + "[].url", "the URL of the server");
                continue;
            }
            for (std::string& base_path : expand_variables(server, url->text, field)) {
                strip_authority(base_path);
                const bool is_plain = base_path.empty() || check_path(base_path) == PathFault::none;
                if (!is_plain || base_path.find_first_of("{}?#") != std::string::npos)
                    add_problem(*url, field + "[].url",
                                fmt::format("a URL whose path has no dot segments, invalid "
                                            "escapes, braces, query or fragment, not '{}'",
                                            base_path));
                else if (std::find(base_paths.begin(), base_paths.end(), base_path) ==
                         base_paths.end())
                    base_paths.push_back(base_path);
            }
        }
        if (base_paths.empty()) base_paths.emplace_back("");  // an empty list means [{url: /}]
        return base_paths;
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
    // Returns a URL for each combination of the variables' values: those of `enum` where it is set,
    // else the default.
    std::vector<std::string> expand_variables(const Value& server, const std::string& url,
                                              const std::string& field) {
        std::vector<std::string> urls{url};
        std::size_t search_start = 0;
        while (true) {
            const std::size_t open_brace = urls.front().find('{', search_start);
            if (open_brace == std::string::npos) return urls;
            const std::size_t close_brace = urls.front().find('}', open_brace);
            if (close_brace == std::string::npos)
                return add_problem(server, field + "[].url", "a '}' for each '{'"), urls;
            const std::string placeholder =
                urls.front().substr(open_brace, close_brace - open_brace + 1);
            const std::string name = placeholder.substr(1, placeholder.size() - 2);
            const Value* variables = server.find("variables");
            const Value* variable = variables ? variables->find(name) : nullptr;
            std::vector<std::string> values;
            if (const Value* enum_values = variable ? variable->find("enum") : nullptr)
                for (const Value& item : enum_values->items)
                    values.push_back(item.text);
            else if (const Value* default_value = variable ? variable->find("default") : nullptr)
                values.push_back(default_value->text);
            if (values.empty()) {
                add_problem(server, fmt::format("{}[].variables.{}", field, name),
                            "a default value or an enum");
                values.emplace_back("x");
            }
            std::vector<std::string> expanded;
            for (const std::string& partial_url : urls)
                for (const std::string& value : values) {
                    std::string url_text = partial_url;
                    for (std::size_t position = url_text.find(placeholder);
                         position != std::string::npos;
                         position = url_text.find(placeholder, position))
                        url_text.replace(position, placeholder.size(), value),
                            position += value.size();
                    expanded.push_back(std::move(url_text));
                }
            if (expanded.size() > max_base_paths) {
                add_problem(server, field,
                            fmt::format("at most {} URLs from the values of its variables",
                                        max_base_paths));
                return {""};
            }
            urls = std::move(expanded);
            search_start = 0;
            if (std::any_of(values.begin(), values.end(), [](const std::string& value) {
                    return value.find('{') != std::string::npos;
                }))
                return add_problem(server, fmt::format("{}[].variables.{}", field, name),
                                   "values without braces"),
                       urls;
        }
    }

    // ---- security ----

    void read_security_schemes() {
        const Value* components = root_->find("components");
        const Value* schemes = components ? components->find("securitySchemes") : nullptr;
        if (!schemes) return;
        for (const auto& [name, scheme_or_reference] : schemes->members) {
            const std::string field = "components.securitySchemes." + name;
            const Value* scheme = resolve_reference(scheme_or_reference, field);
            if (!scheme) continue;
            const std::string type = read_scalar(*scheme, "type", "");
            Carrier carrier;
            if (type == "apiKey") {
                const std::string in = read_scalar(*scheme, "in", "");
                carrier.name = read_scalar(*scheme, "name", "");
                if (in == "header")
                    carrier.location = ParameterLocation::header;
                else if (in == "query")
                    carrier.location = ParameterLocation::query;
                else if (in == "cookie")
                    carrier.location = ParameterLocation::cookie;
                else
                    add_problem(member_or_parent(*scheme, "in"), field + ".in",
                                "header, query or cookie");
                if (carrier.name.empty())
                    add_problem(*scheme, field + ".name",
                                "the name of the parameter that carries the key");
                schemes_[name] = carrier;
            } else if (type == "http") {
                std::string http_scheme = read_scalar(*scheme, "scheme", "");
                std::transform(http_scheme.begin(), http_scheme.end(), http_scheme.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                carrier.name = "Authorization", carrier.bearer = true;
                schemes_[name] = http_scheme == "bearer" ? std::optional(carrier) : std::nullopt;
            } else if (type == "oauth2" || type == "openIdConnect" || type == "mutualTLS") {
                schemes_[name] = std::nullopt;
            } else {
                add_problem(member_or_parent(*scheme, "type"), field + ".type",
                            "apiKey, http, mutualTLS, oauth2 or openIdConnect");
            }
        }
    }

    void read_security(const Value& operation, Route& route, const std::string& field) {
        const Value* security = operation.find("security");
        if (!security) security = root_->find("security");
        if (!security) return;
        if (!security->is(Kind::sequence))
            return add_problem(*security, field + ".security", "a list");
        route.allows_anonymous = security->items.empty();
        for (const Value& alternative : security->items) {
            if (alternative.members.empty()) route.allows_anonymous = true;
            std::optional<Carrier> key_carrier;
            for (const auto& [name, scopes] : alternative.members) {
                const auto scheme = schemes_.find(name);
                if (scheme == schemes_.end())
                    add_problem(scopes, fmt::format("{}.security.{}", field, name),
                                "a scheme that is defined in components.securitySchemes");
                else if (scheme->second && !key_carrier)
                    key_carrier = scheme->second;
            }
            if (key_carrier && std::find(route.key_carriers.begin(), route.key_carriers.end(),
                                         *key_carrier) == route.key_carriers.end())
                route.key_carriers.push_back(*key_carrier);
        }
        if (!route.allows_anonymous && route.key_carriers.empty())
            add_problem(*security, field + ".security",
                        "an apiKey or http bearer scheme among the alternatives");
    }

    // ---- operations ----

    struct Parameter {
        Carrier carrier;
        bool required = false;
    };
    using Parameters = std::map<std::pair<std::string, std::string>, Parameter>;  // by (in, name)

    void read_parameters(const Value& owner, Parameters& parameters, const std::string& field) {
        const Value* list = owner.find("parameters");
        if (!list) return;
        if (!list->is(Kind::sequence)) return add_problem(*list, field + ".parameters", "a list");
        for (const Value& parameter_or_reference : list->items) {
            const Value* parameter =
                resolve_reference(parameter_or_reference, field + ".parameters[]");
            if (!parameter) continue;
            const std::string name = read_scalar(*parameter, "name", ""),
                              in = read_scalar(*parameter, "in", "");
            static const std::map<std::string, ParameterLocation> locations = {
                {"header", ParameterLocation::header},
                {"query", ParameterLocation::query},
                {"cookie", ParameterLocation::cookie},
                {"path", ParameterLocation::path}};
            const auto location = locations.find(in);
            if (name.empty() || location == locations.end()) {
                add_problem(*parameter, field + ".parameters[]",
                            "a name and a location (in: header, query, cookie or path)");
                continue;
            }
            Parameter entry{{location->second, name, false}, false};
            if (const Value* required = parameter->find("required");
                required && !required->as(entry.required))
                add_problem(*required, field + ".parameters[].required", "true or false");
            parameters[{in, lowercase_if_header(in, name)}] = entry;
        }
    }
    static std::string lowercase_if_header(const std::string& in, std::string name) {
        if (in == "header")
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
        return name;
    }

    void read_path(const std::string& path, const Value& item_or_reference,
                   const std::vector<std::string>& base_paths) {
        const Value* item = resolve_reference(item_or_reference, path);
        if (!item) return;
        if (!item->is(Kind::mapping))
            return add_problem(item_or_reference, path, "a mapping of methods to operations");
        std::vector<std::string> template_names;
        if (!check_template(path, item_or_reference, template_names)) return;
        check_extensions(*item, path);
        Parameters path_parameters;
        read_parameters(*item, path_parameters, path);
        const std::vector<std::string> path_base_paths =
            read_servers(*item, base_paths, path + ".servers");
        for (std::size_t i = 0; i < method_names.size(); ++i) {
            std::string member_name(method_names[i]);
            std::transform(member_name.begin(), member_name.end(), member_name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const Value* operation = item->find(member_name);
            if (!operation) continue;
            const std::string field = fmt::format("{} {}", method_names[i], path);
            if (!operation->is(Kind::mapping)) {
                add_problem(*operation, field, "an operation");
                continue;
            }
            Parameters parameters = path_parameters;
            read_parameters(*operation, parameters, field);
            for (const std::string& template_name : template_names)
                if (!parameters.contains({"path", template_name}))
                    add_problem(
                        *operation, field,
                        fmt::format("a path parameter '{}' among its parameters", template_name));
            read_operation(static_cast<Method>(i), path, *item, *operation, parameters,
                           read_servers(*operation, path_base_paths, field + ".servers"), field);
        }
    }

    bool check_template(const std::string& path, const Value& where,
                        std::vector<std::string>& template_names) {
        if (path.empty() || path.front() != '/')
            return add_problem(where, path, "a path that starts with '/'"), false;
        std::size_t open_brace = std::string::npos;
        std::size_t after_close = std::string::npos;
        for (std::size_t i = 0; i < path.size(); ++i) {
            const bool is_inside = open_brace != std::string::npos;
            if (path[i] == '{') {
                if (is_inside || after_close == i)
                    return add_problem(where, path, "text between adjacent names in braces"), false;
                open_brace = i;
            } else if (path[i] == '}') {
                if (!is_inside || open_brace + 1 == i)
                    return add_problem(where, path, "a name in each pair of braces"), false;
                template_names.push_back(path.substr(open_brace + 1, i - open_brace - 1));
                open_brace = std::string::npos, after_close = i + 1;
            } else if (path[i] == '/' && is_inside) {
                return add_problem(where, path, "names in braces that do not span path segments"),
                       false;
            }
        }
        if (open_brace != std::string::npos)
            return add_problem(where, path, "a '}' for each '{'"), false;
        if (path.find_first_of("?#") != std::string::npos)
            return add_problem(where, path, "a path without query or fragment"), false;
        std::vector<std::string> sorted_names = template_names;
        std::sort(sorted_names.begin(), sorted_names.end());
        if (std::adjacent_find(sorted_names.begin(), sorted_names.end()) != sorted_names.end())
            return add_problem(where, path, "each parameter name only once in a path"), false;
        return true;
    }

    void check_extensions(const Value& owner, const std::string& field) {
        for (const auto& [name, value] : owner.members)
            if (name.starts_with(extension_prefix) && name != "x-silverreach-class" &&
                name != "x-silverreach-units" && name != "x-silverreach-units-from" &&
                name != "x-silverreach-effect")
                add_problem(value, field.empty() ? name : fmt::format("{}.{}", field, name),
                            "x-silverreach-class, -units, -units-from or -effect");
    }
    ExtensionValue nearest_extension(std::string_view name, const Value& operation,
                                     const Value& item) const {
        const std::string full_name = std::string(extension_prefix) + std::string(name);
        if (const Value* value = operation.find(full_name)) return {value, "operation"};
        if (const Value* value = item.find(full_name)) return {value, "path"};
        if (const Value* value = root_->find(full_name)) return {value, "root"};
        return {};
    }
    static std::string origin_text(const ExtensionValue& extension) {
        return fmt::format("{}:{}", extension.level, extension.value->line);
    }

    void read_operation(Method method, const std::string& path, const Value& item,
                        const Value& operation, const Parameters& parameters,
                        const std::vector<std::string>& base_paths, const std::string& field) {
        Route route;
        route.method = method, route.line = operation.line;
        route.operation_id = read_scalar(operation, "operationId", "");
        check_extensions(operation, field);
        read_class(route, operation, item, field);
        read_units(route, operation, item, parameters, field);
        read_idempotency(route, operation, item, parameters, field);
        read_security(operation, route, field);
        for (const std::string& base_path : base_paths) {
            Route route_at_base = route;
            route_at_base.path = base_path + path;
            if (const Route* existing = description_->table.add(std::move(route_at_base)))
                add_problem(operation, field,
                            fmt::format("a method and path that no other operation has; line {} "
                                        "defines the equivalent {}",
                                        existing->line, existing->path));
        }
    }

    void read_class(Route& route, const Value& operation, const Value& item,
                    const std::string& field) {
        const ExtensionValue extension = nearest_extension("class", operation, item);
        if (!extension.value) {
            if (policy_.reject_unpriced)
                return add_problem(
                    operation, field,
                    "a class (x-silverreach-class on the operation, its path or the root)");
            route.request_class = policy_.default_class, route.class_origin = "policy";
            return;
        }
        route.request_class = extension.value->text, route.class_origin = origin_text(extension);
        if (!extension.value->is(Kind::scalar) || route.request_class.empty())
            add_problem(*extension.value, field + " x-silverreach-class", "a class name");
        else if (!policy_.classes.empty() && !policy_.classes.contains(route.request_class))
            add_problem(*extension.value, field + " x-silverreach-class",
                        fmt::format("one of {}, not '{}'", fmt::join(policy_.classes, ", "),
                                    route.request_class));
    }

    void read_units(Route& route, const Value& operation, const Value& item,
                    const Parameters& parameters, const std::string& field) {
        const ExtensionValue units = nearest_extension("units", operation, item);
        const ExtensionValue units_from = nearest_extension("units-from", operation, item);
        if (units.value) {
            route.units_origin = origin_text(units);
            if (!units.value->as(route.units) || route.units < 0 || route.units > policy_.max_units)
                add_problem(*units.value, field + " x-silverreach-units",
                            fmt::format("a number from 0 to {}", policy_.max_units));
        } else if (policy_.reject_unpriced) {
            add_problem(operation, field,
                        "units (x-silverreach-units on the operation, its path or the root)");
        } else {
            route.units = policy_.default_units, route.units_origin = "policy";
        }
        if (!units_from.value) return;
        const Value* in = units_from.value->find("in");
        const Value* name = units_from.value->find("name");
        const std::string location = in ? in->text : "";
        if (!name || (location != "header" && location != "query" && location != "path"))
            return add_problem(*units_from.value, field + " x-silverreach-units-from",
                               "{in: header|query|path, name: NAME}");
        const auto parameter =
            parameters.find({location, lowercase_if_header(location, name->text)});
        if (parameter == parameters.end())
            return add_problem(*units_from.value, field + " x-silverreach-units-from",
                               fmt::format("a {} parameter '{}' that the operation declares",
                                           location, name->text));
        route.units_from = parameter->second.carrier;
        route.units_origin +=
            fmt::format("; {} {} {}", location, name->text, origin_text(units_from));
    }

    // RFC 9110: requests with safe or idempotent methods may be repeated. With an Idempotency-Key,
    // hosts drop duplicates. All others must not run twice.
    void read_idempotency(Route& route, const Value& operation, const Value& item,
                          const Parameters& parameters, const std::string& field) {
        const auto key_parameter = parameters.find({"header", "idempotency-key"});
        const bool has_key = key_parameter != parameters.end();
        route.idempotency_key_required = has_key && key_parameter->second.required;
        const bool is_idempotent_method =
            route.method != Method::post && route.method != Method::patch;
        route.idempotency = is_idempotent_method ? Idempotency::idempotent
                            : has_key            ? Idempotency::idempotency_key
                                                 : Idempotency::non_idempotent;
        route.idempotency_origin = is_idempotent_method ? "method"
                                   : has_key            ? "Idempotency-Key"
                                                        : "method";
        const ExtensionValue extension = nearest_extension("effect", operation, item);
        if (!extension.value) return;
        route.idempotency_origin = origin_text(extension);
        if (extension.value->text == "safe")
            route.idempotency = Idempotency::idempotent;
        else if (extension.value->text == "unsafe")
            route.idempotency = Idempotency::non_idempotent;
        else if (extension.value->text == "keyed" && has_key)
            route.idempotency = Idempotency::idempotency_key;
        else if (extension.value->text == "keyed")
            add_problem(*extension.value, field + " x-silverreach-effect",
                        "a header parameter Idempotency-Key where the effect is 'keyed'; hosts use "
                        "it to drop duplicates");
        else
            add_problem(*extension.value, field + " x-silverreach-effect", "safe, keyed or unsafe");
    }

    const std::string& file_;
    const Policy& policy_;
    std::vector<Problem>& problems_;
    std::shared_ptr<Description> description_;
    const Value* root_ = nullptr;
    // By name; nothing: a defined scheme from which no key can be read.
    std::map<std::string, std::optional<Carrier>> schemes_;
};

std::string format_key_carriers(const Route& route) {
    std::string text;
    for (const Carrier& carrier : route.key_carriers)
        text += (text.empty() ? "" : ", ") +
                (carrier.bearer ? "bearer"
                                : fmt::format("{} {}", to_string(carrier.location), carrier.name));
    if (route.allows_anonymous) text += text.empty() ? "none" : ", or none";
    return text;
}
}  // namespace

std::shared_ptr<const Description> load(std::string_view text, const std::string& file,
                                        const Policy& policy, std::vector<Problem>& problems) {
    Value root;
    if (!parse(text, file, root, problems)) return nullptr;
    return Loader(file, policy, problems).load(root);
}

std::string format_routes(const Description& description) {
    constexpr std::array<std::string_view, 3> effect_names = {"safe", "keyed", "unsafe"};
    std::vector<std::array<std::string, 7>> rows = {
        {"METHOD", "PATH", "CLASS", "UNITS", "EFFECT", "KEY", "FROM"}};
    for (const auto& route : description.table.routes())
        rows.push_back({std::string(method_names[static_cast<std::size_t>(route->method)]),
                        route->path, route->request_class,
                        fmt::format("{:g}{}", route->units, route->units_from ? "*" : ""),
                        std::string(effect_names[static_cast<std::size_t>(route->idempotency)]),
                        format_key_carriers(*route),
                        fmt::format("class {}, units {}, effect {}", route->class_origin,
                                    route->units_origin, route->idempotency_origin)});
    std::array<std::size_t, 7> widths{};
    for (const auto& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            text += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
        text += '\n';
    }
    return text;
}

}  // namespace silverreach::openapi

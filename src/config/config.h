// The gateway's configuration: parses the protobuf text format and validates it. No I/O.
// The free functions are thread-safe.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/description.h"
#include "silverreach.pb.h"
#include "silverreach/interface.h"

namespace silverreach::config {

using openapi::Problem;
using Micros = silverreach::Micros;

// An IP address and a port, written as "127.0.0.1:80" or "[::1]:80".
struct Endpoint {
    std::string ip;
    int port = 0;
    bool is_ipv6 = false;
    std::string to_string() const;
    bool operator==(const Endpoint&) const = default;
};
// Returns nothing unless `text` is an IP address and a port from 0 to 65535.
std::optional<Endpoint> parse_endpoint(std::string_view text);

// Parses and validates `text`. If it is invalid, returns null and appends every problem to
// `problems`, with `file`, line and field.
std::unique_ptr<Config> parse(std::string_view text, const std::string& file,
                              std::vector<Problem>& problems);

// Returns the decision engine's settings. Each configured class becomes three engine classes, one
// per Idempotency, because a route's idempotency comes from the API description.
Settings settings_of(const Config& config);
// Index into Settings::classes; -1 if no class has this name.
int class_index(const Config& config, std::string_view name, Idempotency idempotency);
// The configured class of an index into Settings::classes.
const RequestClass& class_at(const Config& config, int index);
// Index into Settings::plans; -1 if no plan has this name.
int plan_index(const Config& config, std::string_view name);

openapi::Policy policy_of(const Config& config);

// The account of an API key.
struct AccountRef {
    std::string name;
    int plan = -1;       // index into Settings::plans
    std::string key_id;  // not secret, for logs; empty for keys listed in the configuration
};
// Finds the account of an API key.
class KeyIndex {
  public:
    virtual ~KeyIndex() = default;
    struct Found {
        std::optional<AccountRef> account;
        std::string error;  // for the client if there is no account; never contains the key's text
    };
    virtual Found find_account(std::string_view key) = 0;
};

using AccountBook = KeyIndex;  // former name, not used

// The accounts and keys that the configuration lists.
class StaticKeyIndex : public KeyIndex {
  public:
    explicit StaticKeyIndex(const Config& config);
    Found find_account(std::string_view key) override;

  private:
    std::vector<AccountRef> accounts_;
    std::unordered_map<std::string, std::size_t> accounts_by_key_;
};

}  // namespace silverreach::config

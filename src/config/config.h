// The gateway's configuration: protobuf text format, checked as a whole. No I/O.
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

struct Endpoint {  // of IP address and port, "127.0.0.1:80" or "[::1]:80"
    std::string ip;
    int port = 0;
    bool v6 = false;
    std::string text() const;
    bool operator==(const Endpoint&) const = default;
};
std::optional<Endpoint> parse_endpoint(std::string_view text);

// Parses and checks; every problem found is appended, with file, line and field, and nothing
// returned.
std::unique_ptr<Config> parse(std::string_view text, const std::string& file,
                              std::vector<Problem>& problems);

// What the module is started with. A configured class becomes three of the module's, one for each
// effect, since a route's effect comes from the description.
Settings settings_of(const Config& config);
int class_index(const Config& config, std::string_view name,
                Idempotency effect);                            // below 0: unknown
const RequestClass& class_at(const Config& config, int index);  // of a class_index
int plan_index(const Config& config, std::string_view name);    // below 0: unknown

openapi::Policy policy_of(const Config& config);

// The account behind a key, as the key index returns it.
struct AccountRef {
    std::string name;
    int plan = -1;
    std::string key_id;  // public; for logs
};
// Finds the account of an API key.
class KeyIndex {
  public:
    virtual ~KeyIndex() = default;
    struct Found {
        std::optional<AccountRef> account;
        std::string why;  // for the client, where there is none; never any of the key's text
    };
    virtual Found by_key(std::string_view key) = 0;
};

using AccountBook = KeyIndex;  // the name that src/frontend still uses

// The accounts and keys that the configuration lists.
class StaticKeyIndex : public KeyIndex {
  public:
    explicit StaticKeyIndex(const Config& config);
    Found by_key(std::string_view key) override;

  private:
    std::vector<AccountRef> accounts_;
    std::unordered_map<std::string, std::size_t> by_key_;
};

}  // namespace silverreach::config

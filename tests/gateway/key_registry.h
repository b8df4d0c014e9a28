// A registry of keys in a temporary folder, and the requests of a client with a key.
#pragma once

#include "registry/store.h"
#include "tests/gateway/test_gateway.h"

namespace key_test {
using namespace gateway_test;
using namespace silverreach::accounts;
using silverreach::registry::Disk;
using silverreach::registry::Store;

inline UnixTime now() {
    return std::chrono::duration_cast<UnixTime>(
        std::chrono::system_clock::now().time_since_epoch());
}
struct KeyRegistry {
    std::string folder = "/tmp/silverreach-keys-XXXXXX";
    Disk disk;
    std::unique_ptr<Store> store;
    KeyRegistry() {
        mkdtemp(folder.data());
        store = std::make_unique<Store>(folder, Store::Mode::write, true, disk);
        commit(AddPlan{"basic"});
        commit(AddPlan{"tiny"});
        commit(AddPlan{"unheard-of"});
        commit(PutAccount{"birds", "basic"});
    }
    ~KeyRegistry() { std::system(("rm -rf '" + folder + "'").c_str()); }
    void commit(const Operation& operation) {
        const auto error = store->commit(operation, now());
        EXPECT_FALSE(error) << error->message;
    }
    std::string issue(const std::string& account, UnixTime cutoff = never) {
        const std::string text = make_key(silverreach::registry::random_bytes());
        commit(IssueKey{std::string(parse_key(text).id), account,
                        hash_key(store->registry().pepper(), text), now() - UnixTime(10'000),
                        cutoff});
        return text;
    }
    std::string rotate(const std::string& old_key, UnixTime overlap) {
        const std::string text = make_key(silverreach::registry::random_bytes());
        commit(RotateKey{std::string(parse_key(old_key).id), std::string(parse_key(text).id),
                         hash_key(store->registry().pepper(), text), overlap});
        return text;
    }
    Options options() const {
        Options options;
        options.accounts = false;
        options.extra_config = "registry: \"" + folder + "\" clock_skew_ms: 0\n";
        return options;
    }
};
inline std::string request_with(const std::string& key) {
    return TestGateway::get_request("/mine", "X-Key: " + key + "\r\n");
}

}  // namespace key_test

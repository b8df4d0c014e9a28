// A registry of keys in a temporary folder, and the requests of a client with a key.
#pragma once

#include "registry/store.h"
#include "tests/gateway/rig.h"

namespace key_test {
using namespace rig;
using namespace silverreach::accounts;
using silverreach::registry::Disk;
using silverreach::registry::Store;

inline UnixTime now() {
    return std::chrono::duration_cast<UnixTime>(
        std::chrono::system_clock::now().time_since_epoch());
}
struct Keys {
    std::string folder = "/tmp/silverreach-keys-XXXXXX";
    Disk disk;
    std::unique_ptr<Store> store;
    Keys() {
        mkdtemp(folder.data());
        store = std::make_unique<Store>(folder, Store::Mode::write, true, disk);
        make(AddPlan{"basic"});
        make(AddPlan{"tiny"});
        make(AddPlan{"unheard-of"});
        make(PutAccount{"birds", "basic"});
    }
    ~Keys() { std::system(("rm -rf '" + folder + "'").c_str()); }
    void make(const Operation& operation) {
        const auto error = store->commit(operation, now());
        EXPECT_FALSE(error) << error->message;
    }
    std::string issue(const std::string& account, UnixTime cutoff = never) {
        const std::string text = make_key(silverreach::registry::random_bytes());
        make(IssueKey{std::string(parse_key(text).id), account,
                      hash_key(store->registry().pepper(), text), now() - UnixTime(10'000),
                      cutoff});
        return text;
    }
    std::string rotate(const std::string& old, UnixTime overlap) {
        const std::string text = make_key(silverreach::registry::random_bytes());
        make(RotateKey{std::string(parse_key(old).id), std::string(parse_key(text).id),
                       hash_key(store->registry().pepper(), text), overlap});
        return text;
    }
    Options options() const {
        Options o;
        o.accounts = false;
        o.more = "registry: \"" + folder + "\" clock_skew_ms: 0\n";
        return o;
    }
};
inline std::string with(const std::string& key) {
    return TestGateway::get("/mine", "X-Key: " + key + "\r\n");
}

}  // namespace key_test

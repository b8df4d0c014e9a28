// What a step of the wall clock does to keys and to hosts' starts while the gateway runs: nothing.
#include <stdlib.h>

#include "registry/store.h"
#include "rig.h"
#include "tests/support/faults.h"

using namespace rig;
using namespace silverreach::accounts;
using silverreach::registry::Disk;
using silverreach::registry::Store;

namespace {
// The table of this process: the fault injection is linked into this test.
faults::SharedTable& steps() {
    static faults::SharedTable table;
    ::setenv(faults::table_variable, table.file().c_str(), 1);
    return table;
}
Wall now() { return std::chrono::duration_cast<Wall>(std::chrono::system_clock::now().time_since_epoch()); }

struct KeyFolder {
    std::string folder = "/tmp/silverreach-clock-XXXXXX";
    Disk disk;
    std::unique_ptr<Store> store;
    KeyFolder() {
        mkdtemp(folder.data());
        store = std::make_unique<Store>(folder, Store::Mode::write, true, disk);
        make(AddPlan{"basic"}, now());
        make(PutAccount{"birds", "basic"}, now());
    }
    ~KeyFolder() { std::system(("rm -rf '" + folder + "'").c_str()); }
    void make(const Deed& deed, Wall at) { EXPECT_EQ(store->change(deed, at), ""); }
    std::string issue(Wall cutoff) {
        const std::string text = make_key(silverreach::registry::random_bytes());
        make(IssueKey{std::string(look_at(text).id), "birds", hash_of(store->registry().pepper(), text),
                      now() - Wall(10'000), cutoff},
             now());
        return text;
    }
    Options options() const {
        Options o;
        o.accounts = false;
        o.more = "registry: \"" + folder + "\" clock_skew_ms: 0\n";
        return o;
    }
};
std::string with(const std::string& key) { return TestGateway::get("/mine", "X-Key: " + key + "\r\n"); }
}  // namespace

TEST(WallClock, AStepEndsNoKeyBeforeItsSpanIsOver) {
    steps()->wall_step_us = 0;
    KeyFolder r;
    const std::string key = r.issue(now() + Wall(600'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_step_us = 3'600'000'000;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "an hour ahead";
    steps()->wall_step_us = 0;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "and back";
}

TEST(WallClock, AStepBackServesNoKeyBeyondItsCutoff) {
    steps()->wall_step_us = 0;
    KeyFolder r;
    const std::string key = r.issue(now() + Wall(1'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_step_us = -3'600'000'000;
    g.pass(1100ms);
    EXPECT_EQ(status(g.talk(with(key))), 401);
    steps()->wall_step_us = 0;
}

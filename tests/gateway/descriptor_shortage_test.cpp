// Guards against changes of files that are lost because they happen while no descriptor is left.
#include <fcntl.h>
#include <sys/resource.h>

#include "tests/gateway/key_registry.h"

using namespace key_test;

namespace {
// While it exists, this process can open no further descriptor.
class DescriptorShortage {
  public:
    DescriptorShortage() {
        getrlimit(RLIMIT_NOFILE, &original_limit_);
        const event::Fd lowest_free(open("/dev/null", O_RDONLY | O_CLOEXEC));
        rlimit exhausted_limit = original_limit_;
        exhausted_limit.rlim_cur = static_cast<rlim_t>(lowest_free.get());
        setrlimit(RLIMIT_NOFILE, &exhausted_limit);
    }
    ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &original_limit_); }
    DescriptorShortage(const DescriptorShortage&) = delete;
    DescriptorShortage& operator=(const DescriptorShortage&) = delete;

  private:
    rlimit original_limit_{};
};
// Lets the gateway fail to read the file, and then read it, while there are descriptors. UBSan
// checks the types of objects that it meets for the first time through a pipe, and would report
// valid ones during the shortage.
void read_once_without_shortage(TestGateway& gateway, const std::string& path) {
    const std::string moved = path + ".moved";
    ASSERT_EQ(::rename(path.c_str(), moved.c_str()), 0);
    gateway.run_for(500ms);
    ASSERT_EQ(::rename(moved.c_str(), path.c_str()), 0);
    gateway.run_for(500ms);
}
// A retry comes 2 s after the shortage at the latest.
constexpr auto shortage_duration = 1s;
constexpr auto time_to_effect = 2500ms;
}  // namespace

TEST(DescriptorShortage, AKeyRevokedDuringItIsNotServedAfterIt) {
    KeyRegistry keys;
    const std::string key = keys.issue("birds");
    TestGateway gateway(keys.options());
    read_once_without_shortage(gateway, keys.folder + "/mark");
    ASSERT_EQ(status(gateway.exchange(request_with(key))), 200);
    keys.commit(RevokeKey{std::string(parse_key(key).id), now(), RevocationCause::leaked});
    {
        const DescriptorShortage shortage;
        gateway.run_for(shortage_duration);
    }
    gateway.run_for(time_to_effect);
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 401);
}

TEST(DescriptorShortage, AHostRemovedDuringItGetsNoRequestAfterIt) {
    Options options;
    options.hosts = 2;
    TestGateway gateway(options);
    read_once_without_shortage(gateway, gateway.folder() + "/hosts.json");
    const auto removed = std::move(gateway.hosts[0]);
    gateway.hosts.erase(gateway.hosts.begin());
    gateway.write_host_list();
    {
        const DescriptorShortage shortage;
        gateway.run_for(shortage_duration);
    }
    gateway.run_for(time_to_effect);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    EXPECT_EQ(removed->requests.size(), 0u);
}

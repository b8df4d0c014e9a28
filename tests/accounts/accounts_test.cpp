#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sodium.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>

#include "accounts/change_codec.h"
#include "accounts/change_log.h"
#include "accounts/registry.h"
#include "registry/store.h"

using namespace silverreach::accounts;
using silverreach::registry::CommitErrorCode;
using silverreach::registry::Disk;
using silverreach::registry::Store;
using silverreach::registry::StoreError;
using silverreach::registry::StoreErrorCode;

namespace {
constexpr UnixTime second(1000), hour(3'600'000);
const UnixTime t0(1'800'000'000'000);

std::string key_text(std::uint8_t seed) {
    Bytes32 random{};
    random.fill(seed);
    random[0] = static_cast<std::uint8_t>(seed * 7);
    return make_key(random);
}
std::string id_of(const std::string& text) {
    return std::string(parse_key(text).id);
}

struct TestRegistry {
    Registry registry;
    UnixTime at = t0;
    explicit TestRegistry(UnixTime skew = UnixTime(0)) : registry(Pepper{1, 2, 3}, skew) {}
    // The error's message; empty if the operation was applied.
    std::string apply(Operation operation) {
        const auto error = registry.apply({registry.version() + 1, at, std::move(operation)});
        return error ? error->message : "";
    }
    std::string issue(std::uint8_t seed, const std::string& account, UnixTime valid_from = t0,
                      UnixTime valid_until = never) {
        const std::string text = key_text(seed);
        EXPECT_EQ(apply(IssueKey{id_of(text), account, hash_key(registry.pepper(), text),
                                 valid_from, valid_until}),
                  "");
        return text;
    }
    std::string rotate(const std::string& old_key, std::uint8_t seed, UnixTime overlap) {
        const std::string text = key_text(seed);
        EXPECT_EQ(apply(RotateKey{id_of(old_key), id_of(text), hash_key(registry.pepper(), text),
                                  overlap}),
                  "");
        return text;
    }
    KeyStatus status(const std::string& text, UnixTime now) {
        return registry.look_up(text, now).status;
    }
};
TestRegistry make_registry(UnixTime skew = UnixTime(0)) {
    TestRegistry fixture(skew);
    EXPECT_EQ(fixture.apply(AddPlan{"basic"}), "");
    EXPECT_EQ(fixture.apply(AddPlan{"gold"}), "");
    EXPECT_EQ(fixture.apply(PutAccount{"birds", "basic"}), "");
    EXPECT_EQ(fixture.apply(PutAccount{"rival", "gold"}), "");
    return fixture;
}
}  // namespace

TEST(Key, MistypedUnknownAndMalformedKeysAreDistinguished) {
    TestRegistry fixture = make_registry();
    const std::string text = fixture.issue(1, "birds");
    EXPECT_EQ(text.size(), key_length);
    EXPECT_EQ(fixture.status(text, t0), KeyStatus::valid);
    EXPECT_EQ(fixture.status(key_text(9), t0), KeyStatus::unknown);
    int mistyped = 0;
    for (std::size_t i = 4; i < text.size(); ++i) {
        std::string altered = text;
        altered[i] = altered[i] == '7' ? '8' : '7';
        if (altered == text || i == 4 + id_length) continue;
        EXPECT_NE(fixture.status(altered, t0), KeyStatus::valid);
        mistyped += fixture.status(altered, t0) == KeyStatus::checksum_mismatch;
    }
    EXPECT_GE(mistyped, 45)
        << "the checksum has 20 bits, so about one in a million altered keys passes";
    for (const std::string& malformed :
         {std::string(), std::string("srk_"), text + "x", text.substr(1), std::string(100'000, 'a'),
          std::string("srk_\xc3\xa9") + text.substr(6), [&] {
              auto non_alphabet = text;
              non_alphabet[6] = 'U';
              return non_alphabet;
          }()})
        EXPECT_EQ(fixture.status(malformed, t0), KeyStatus::malformed);
}

TEST(Registry, BothKeysOfARotationAreValidUntilTheOverlapEnds) {
    TestRegistry fixture = make_registry();
    const std::string first_key = fixture.issue(1, "birds");
    fixture.at = t0 + hour;
    const std::string second_key = fixture.rotate(first_key, 2, hour);
    EXPECT_EQ(fixture.status(first_key, t0 + hour), KeyStatus::valid);
    EXPECT_EQ(fixture.status(second_key, t0 + hour), KeyStatus::valid);
    fixture.at = t0 + hour + hour / 2;  // within the overlap of the first rotation
    const std::string third_key = fixture.rotate(second_key, 3, hour);
    for (const std::string& key : {first_key, second_key, third_key})
        EXPECT_EQ(fixture.status(key, fixture.at), KeyStatus::valid);
    EXPECT_EQ(fixture.status(first_key, t0 + 2 * hour - UnixTime(1)), KeyStatus::valid);
    EXPECT_EQ(fixture.status(first_key, t0 + 2 * hour), KeyStatus::expired);
    EXPECT_EQ(fixture.status(second_key, t0 + 2 * hour), KeyStatus::valid);
    EXPECT_EQ(fixture.status(second_key, t0 + 3 * hour), KeyStatus::expired);
    EXPECT_EQ(fixture.status(third_key, t0 + 100 * hour), KeyStatus::valid);
    EXPECT_NE(fixture.apply(RotateKey{id_of(first_key), "aaaaaaaaaa", {}, hour}), "")
        << "the key has expired";
}

TEST(Registry, ARotationNeverExtendsValidity) {
    TestRegistry fixture = make_registry();
    const std::string text = fixture.issue(1, "birds", t0, t0 + hour);
    const std::string successor = fixture.rotate(text, 2, 10 * hour);
    EXPECT_EQ(fixture.status(text, t0 + hour), KeyStatus::expired);
    EXPECT_EQ(fixture.status(successor, t0 + hour), KeyStatus::expired)
        << "the successor expires when the old key was to expire";
}

TEST(Registry, ARevokedKeyStaysInvalidWhateverTheClockDoes) {
    TestRegistry fixture = make_registry(5 * second);
    const std::string text = fixture.issue(1, "birds");
    EXPECT_EQ(fixture.apply(RevokeKey{id_of(text), t0 + 60 * second, RevocationCause::leaked}), "");
    EXPECT_EQ(fixture.status(text, t0), KeyStatus::valid);
    EXPECT_EQ(fixture.status(text, t0 + 55 * second), KeyStatus::expired)
        << "the clock may be 5 s behind";
    EXPECT_EQ(fixture.status(text, t0), KeyStatus::expired)
        << "a clock that steps back makes no expired key valid";
    EXPECT_NE(fixture.apply(RevokeKey{id_of(text), t0 + 600 * second, RevocationCause::requested}),
              "")
        << "a revocation does not extend validity";
    EXPECT_EQ(fixture.registry.keys().at(id_of(text)).cause, RevocationCause::leaked);
}

TEST(Registry, KeysOfMergedAccountsCountForOneAccount) {
    TestRegistry fixture = make_registry();
    const std::string key = fixture.issue(1, "birds"), second_key = fixture.issue(2, "birds"),
                      merged_key = fixture.issue(3, "rival");
    EXPECT_EQ(fixture.registry.look_up(key, t0).account,
              fixture.registry.look_up(second_key, t0).account);
    EXPECT_EQ(fixture.apply(MergeAccounts{"rival", "birds"}), "");
    EXPECT_EQ(fixture.registry.look_up(merged_key, t0).account, "birds");
    EXPECT_EQ(fixture.registry.look_up(merged_key, t0).plan, "basic");
    EXPECT_NE(fixture.apply(MergeAccounts{"birds", "rival"}), "") << "merges form no cycle";
    EXPECT_NE(fixture.apply(MergeAccounts{"birds", "birds"}), "");
    EXPECT_NE(fixture.apply(PutAccount{"rival", "gold"}), "");
}

TEST(Registry, RemovingAPlanInUseMovesItsAccounts) {
    TestRegistry fixture = make_registry();
    const std::string text = fixture.issue(1, "birds");
    EXPECT_NE(fixture.apply(RemovePlan{"basic", ""}), "");
    EXPECT_NE(fixture.apply(RemovePlan{"basic", "basic"}), "");
    EXPECT_EQ(fixture.apply(RemovePlan{"basic", "gold"}), "");
    EXPECT_EQ(fixture.registry.look_up(text, t0).plan, "gold");
}

TEST(Registry, InvalidChangesAreRejectedWithoutEffect) {
    TestRegistry fixture = make_registry();
    const auto version = fixture.registry.version();
    for (const std::uint64_t wrong : {version, version + 2}) {
        const auto error = fixture.registry.apply({wrong, t0, AddPlan{"x"}});
        ASSERT_TRUE(error);
        EXPECT_EQ(error->code, ChangeErrorCode::version_mismatch);
        EXPECT_NE(error->message, "");
    }
    EXPECT_NE(fixture.apply(AddPlan{"a b"}), "");
    EXPECT_NE(fixture.apply(AddPlan{std::string(300, 'x')}), "");
    EXPECT_EQ(fixture.registry.version(), version);
    EXPECT_EQ(fixture.registry.plans().size(), 2u);
}

// Compares the registry with a model that holds only the two ends of each key's validity.
TEST(Registry, AgreesWithASimpleModel) {
    struct ModelKey {
        std::string text;
        UnixTime valid_from, valid_until;
        bool is_rotated = false;
    };
    const bool holds = rc::check("the registry and the model serve the same keys", [] {
        TestRegistry fixture = make_registry();
        std::vector<ModelKey> model;
        std::uint8_t next_seed = 1;
        for (int step = 0; step < 30; ++step) {
            fixture.at += UnixTime(*rc::gen::inRange<std::int64_t>(0, 5000));
            const int action = *rc::gen::inRange(0, 4);
            const auto pick_key = [&]() -> ModelKey* {
                return model.empty() ? nullptr
                                     : &model[*rc::gen::inRange<std::size_t>(0, model.size())];
            };
            const UnixTime duration(*rc::gen::inRange<std::int64_t>(1, 8000));
            if (action == 0 || model.empty()) {
                const std::string text =
                    fixture.issue(next_seed++, "birds", fixture.at, fixture.at + duration);
                model.push_back({text, fixture.at, fixture.at + duration});
            } else if (action == 1) {
                ModelKey* key = pick_key();
                const std::string text = key_text(next_seed++);
                const bool is_allowed = key->valid_until > fixture.at && !key->is_rotated;
                const std::string error =
                    fixture.apply(RotateKey{id_of(key->text), id_of(text),
                                            hash_key(fixture.registry.pepper(), text), duration});
                RC_ASSERT(error.empty() == is_allowed);
                if (!is_allowed) continue;
                const UnixTime valid_until = key->valid_until;
                key->valid_until = std::min(key->valid_until, fixture.at + duration),
                key->is_rotated = true;
                model.push_back({text, fixture.at, valid_until});
            } else if (action == 2) {
                ModelKey* key = pick_key();
                const UnixTime valid_until = fixture.at + duration;
                const bool is_allowed = key->valid_until > valid_until;
                RC_ASSERT(
                    fixture
                        .apply(RevokeKey{id_of(key->text), valid_until, RevocationCause::requested})
                        .empty() == is_allowed);
                if (is_allowed) key->valid_until = valid_until;
            } else {
                for (const ModelKey& key : model)
                    RC_ASSERT((fixture.status(key.text, fixture.at) == KeyStatus::valid) ==
                              (key.valid_from <= fixture.at && fixture.at < key.valid_until));
            }
        }
    });
    EXPECT_TRUE(holds);
}

TEST(ChangeCodec, ChangesRoundTripAndInvalidBytesAreRejected) {
    const std::vector<Operation> operations = {
        AddPlan{"p"},
        RemovePlan{"p", "q"},
        PutAccount{"a", "p"},
        MergeAccounts{"a", "b"},
        IssueKey{"0123456789", "a", {1, 2}, t0, never},
        RotateKey{"0123456789", "abcdefghjk", {3}, hour},
        RevokeKey{"0123456789", t0, RevocationCause::leaked}};
    for (const Operation& operation : operations) {
        const std::string bytes = encode_change({7, t0, operation});
        const auto decoded = decode_change(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(encode_change(*decoded), bytes);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decode_change(bytes.substr(0, size)));
        EXPECT_FALSE(decode_change(bytes + "x"));
    }
}

TEST(ChangeLog, AnIncompleteTailIsTruncatedAndDamageBelowTheMarkerIsRejected) {
    std::string log(log_magic);
    std::vector<std::size_t> ends;
    for (int i = 0; i < 4; ++i) {
        log += encode_record(
            {static_cast<std::uint64_t>(i + 1), t0, AddPlan{"plan" + std::to_string(i)}});
        ends.push_back(log.size());
    }
    for (std::size_t acknowledged = 0; acknowledged <= 4; ++acknowledged) {
        const std::size_t committed_bytes = acknowledged ? ends[acknowledged - 1] : 0;
        const std::string marker = encode_marker_slot({acknowledged, committed_bytes});
        for (std::size_t size = 0; size <= log.size(); ++size) {
            const RecoveredLog recovered = recover_log(log.substr(0, size), marker);
            if (size < committed_bytes)
                EXPECT_TRUE(recovered.error) << size;
            else
                EXPECT_GE(recovered.changes.size(), acknowledged) << size;
            EXPECT_LE(recovered.valid_bytes, size);
        }
        for (std::size_t offset = 0; offset < log.size(); ++offset) {
            std::string damaged = log;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0x20);
            const RecoveredLog recovered = recover_log(damaged, marker);
            if (offset < committed_bytes || offset < log_magic.size())
                EXPECT_TRUE(recovered.error) << offset;
            else
                EXPECT_GE(recovered.changes.size(), acknowledged);
        }
    }
}

namespace {
// Stops the writer at call `kill_at`, as a kill of the process would: before the write, halfway
// through it or after it, or before a sync. Call `full_at`, if it is a write, fails halfway as on a
// full disk.
struct Killed {};
struct FaultyDisk : Disk {
    int calls = 0, kill_at = -1, written_halves = 0;  // of the stopped write: 0, 1 or 2
    int full_at = -1;
    bool write(int fd, std::uint64_t offset, std::string_view bytes) override {
        const int call = calls++;
        if (call == full_at)
            return Disk::write(fd, offset, bytes.substr(0, bytes.size() / 2)), errno = ENOSPC,
                                                                               false;
        if (call != kill_at) return Disk::write(fd, offset, bytes);
        Disk::write(fd, offset,
                    bytes.substr(0, bytes.size() * static_cast<std::size_t>(written_halves) / 2));
        throw Killed();
    }
    bool sync(int fd) override {
        if (calls++ == kill_at) throw Killed();
        return Disk::sync(fd);
    }
};
// Fails the calls from `fail_from` to before `fail_to`, writes after their first half, and stops
// the writer at call `kill_at`.
struct FailingDisk : Disk {
    int calls = 0, fail_from = -1, fail_to = -1, kill_at = -1;
    int error = EIO;
    bool write(int fd, std::uint64_t offset, std::string_view bytes) override {
        if (!next_call_fails()) return Disk::write(fd, offset, bytes);
        Disk::write(fd, offset, bytes.substr(0, bytes.size() / 2));
        return errno = error, false;
    }
    bool sync(int fd) override {
        return next_call_fails() ? (errno = error, false) : Disk::sync(fd);
    }
    bool truncate(int fd, std::uint64_t size) override {
        return next_call_fails() ? (errno = error, false) : Disk::truncate(fd, size);
    }
    bool next_call_fails() {
        const int call = calls++;
        if (call == kill_at) throw Killed();
        return call >= fail_from && call < fail_to;
    }
};
struct TemporaryFolder {
    std::string name = "/tmp/silverreach-registry-XXXXXX";
    TemporaryFolder() { mkdtemp(name.data()); }
    ~TemporaryFolder() { std::system(("rm -rf '" + name + "'").c_str()); }
};
}  // namespace

TEST(Store, AKillAtEachWriteLosesNoAcknowledgedChange) {
    int kills = 0;
    for (int kill_at = 0; kill_at < 200; ++kill_at)
        for (int written_halves = 0; written_halves < 3; ++written_halves) {
            TemporaryFolder folder;
            std::vector<std::string> acknowledged;
            std::string current_plan;
            bool killed = false;
            {
                FaultyDisk disk;
                disk.kill_at = kill_at, disk.written_halves = written_halves;
                try {
                    Store store(folder.name, Store::Mode::write, true, disk);
                    for (int i = 0; i < 4; ++i) {
                        current_plan = "plan" + std::to_string(i);
                        ASSERT_FALSE(store.commit(AddPlan{current_plan}, t0));
                        acknowledged.push_back(current_plan);
                    }
                } catch (const Killed&) {
                    killed = true;
                }
            }
            kills += killed;
            Disk disk;
            Store reopened(folder.name, Store::Mode::write, true, disk);
            for (const std::string& plan : acknowledged)
                EXPECT_TRUE(reopened.registry().plans().count(plan)) << kill_at << " " << plan;
            EXPECT_LE(reopened.registry().plans().size(), acknowledged.size() + 1)
                << "at most the change in progress is added";
            EXPECT_FALSE(reopened.commit(AddPlan{"after"}, t0));
            if (!killed) {
                EXPECT_GE(kills, 3 * 16)
                    << "the writes and syncs of four changes and of the creation";
                return;
            }
        }
    FAIL() << "every run was killed";
}

TEST(Store, AFullDiskLosesNoAcknowledgedChange) {
    for (int full_at = 6; full_at < 22; ++full_at) {
        TemporaryFolder folder;
        std::vector<std::string> acknowledged;
        {
            FaultyDisk disk;
            disk.full_at = full_at;
            Store store(folder.name, Store::Mode::write, true, disk);
            for (int i = 0; i < 4; ++i) {
                const std::string plan = "plan" + std::to_string(i);
                if (!store.commit(AddPlan{plan}, t0)) acknowledged.push_back(plan);
            }
            EXPECT_LT(acknowledged.size(), 5u);
        }
        Disk disk;
        Store reopened(folder.name, Store::Mode::write, false, disk);
        for (const std::string& plan : acknowledged)
            EXPECT_TRUE(reopened.registry().plans().count(plan));
    }
}

TEST(Store, ASecondWriterIsRejectedAndReadersAreNot) {
    TemporaryFolder folder;
    Disk disk;
    Store writer(folder.name, Store::Mode::write, true, disk);
    EXPECT_FALSE(writer.commit(AddPlan{"basic"}, t0));
    try {
        Store second_writer(folder.name, Store::Mode::write, true, disk);
        FAIL();
    } catch (const StoreError& error) {
        EXPECT_EQ(error.code(), StoreErrorCode::locked);
        EXPECT_NE(std::string(error.what()).find("another writer"), std::string::npos);
    }
    Store reader(folder.name, Store::Mode::read, false, disk);
    EXPECT_EQ(reader.registry().plans().size(), 1u);
}

TEST(Store, DiskFailuresFollowedByAKillLoseNoAcknowledgedChange) {
    constexpr int first_call = 6, last_call = 30;  // after the creation of the registry
    for (int fail_from = first_call; fail_from < last_call; ++fail_from)
        for (int fail_count = 1; fail_count <= 4; ++fail_count)
            for (int kill_at = fail_from + 1; kill_at < fail_from + 8; ++kill_at) {
                TemporaryFolder folder;
                std::vector<std::string> acknowledged, not_made;
                FailingDisk disk;
                disk.fail_from = fail_from, disk.fail_to = fail_from + fail_count,
                disk.kill_at = kill_at;
                try {
                    Store store(folder.name, Store::Mode::write, true, disk);
                    for (int i = 0; i < 4; ++i) {
                        const std::string plan = "plan" + std::to_string(i);
                        const auto error = store.commit(AddPlan{plan}, t0);
                        if (!error)
                            acknowledged.push_back(plan);
                        else if (error->message.find("was not made") != std::string::npos)
                            not_made.push_back(plan);
                        EXPECT_EQ(error && error->code == CommitErrorCode::not_committed,
                                  !not_made.empty() && not_made.back() == plan);
                    }
                } catch (const Killed&) {
                }
                Disk healthy_disk;
                Store reopened(folder.name, Store::Mode::write, true, healthy_disk);
                const std::string fault = std::to_string(fail_from) + "+" +
                                          std::to_string(fail_count) + ", killed at " +
                                          std::to_string(kill_at);
                for (const std::string& plan : acknowledged)
                    EXPECT_TRUE(reopened.registry().plans().count(plan))
                        << fault << ": lost " << plan;
                for (const std::string& plan : not_made)
                    EXPECT_FALSE(reopened.registry().plans().count(plan))
                        << fault << ": made " << plan;
            }
}

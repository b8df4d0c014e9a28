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

std::string key_text(std::uint8_t n) {
    Bytes32 random{};
    random.fill(n);
    random[0] = static_cast<std::uint8_t>(n * 7);
    return make_key(random);
}
std::string id_of(const std::string& text) {
    return std::string(parse_key(text).id);
}

struct TestRegistry {
    Registry r;
    UnixTime at = t0;
    explicit TestRegistry(UnixTime skew = UnixTime(0)) : r(Pepper{1, 2, 3}, skew) {}
    // The error's message; empty where the operation was applied.
    std::string make(Operation operation) {
        const auto error = r.apply({r.version() + 1, at, std::move(operation)});
        return error ? error->message : "";
    }
    std::string issue(std::uint8_t n, const std::string& account, UnixTime start = t0,
                      UnixTime cutoff = never) {
        const std::string text = key_text(n);
        EXPECT_EQ(make(IssueKey{id_of(text), account, hash_key(r.pepper(), text), start, cutoff}),
                  "");
        return text;
    }
    std::string rotate(const std::string& old, std::uint8_t n, UnixTime overlap) {
        const std::string text = key_text(n);
        EXPECT_EQ(make(RotateKey{id_of(old), id_of(text), hash_key(r.pepper(), text), overlap}),
                  "");
        return text;
    }
    KeyStatus status(const std::string& text, UnixTime now) { return r.look_up(text, now).status; }
};
TestRegistry make_registry(UnixTime skew = UnixTime(0)) {
    TestRegistry b(skew);
    EXPECT_EQ(b.make(AddPlan{"basic"}), "");
    EXPECT_EQ(b.make(AddPlan{"gold"}), "");
    EXPECT_EQ(b.make(PutAccount{"birds", "basic"}), "");
    EXPECT_EQ(b.make(PutAccount{"rival", "gold"}), "");
    return b;
}
}  // namespace

TEST(Key, MistypedUnknownAndMalformedKeysAreDistinguished) {
    TestRegistry b = make_registry();
    const std::string text = b.issue(1, "birds");
    EXPECT_EQ(text.size(), key_length);
    EXPECT_EQ(b.status(text, t0), KeyStatus::valid);
    EXPECT_EQ(b.status(key_text(9), t0), KeyStatus::unknown);
    int mistyped = 0;
    for (std::size_t i = 4; i < text.size(); ++i) {
        std::string wrong = text;
        wrong[i] = wrong[i] == '7' ? '8' : '7';
        if (wrong == text || i == 4 + id_length) continue;
        EXPECT_NE(b.status(wrong, t0), KeyStatus::valid);
        mistyped += b.status(wrong, t0) == KeyStatus::checksum_mismatch;
    }
    EXPECT_GE(mistyped, 45) << "twenty bits of check: one in a million passes";
    for (const std::string& bad :
         {std::string(), std::string("srk_"), text + "x", text.substr(1), std::string(100'000, 'a'),
          std::string("srk_\xc3\xa9") + text.substr(6), [&] {
              auto u = text;
              u[6] = 'U';
              return u;
          }()})
        EXPECT_EQ(b.status(bad, t0), KeyStatus::malformed);
}

TEST(Registry, BothKeysOfARotationAreValidUntilTheOverlapEnds) {
    TestRegistry b = make_registry();
    const std::string first = b.issue(1, "birds");
    b.at = t0 + hour;
    const std::string second_key = b.rotate(first, 2, hour);
    EXPECT_EQ(b.status(first, t0 + hour), KeyStatus::valid);
    EXPECT_EQ(b.status(second_key, t0 + hour), KeyStatus::valid);
    b.at = t0 + hour + hour / 2;  // again within the overlap
    const std::string third = b.rotate(second_key, 3, hour);
    for (const std::string& key : {first, second_key, third})
        EXPECT_EQ(b.status(key, b.at), KeyStatus::valid);
    EXPECT_EQ(b.status(first, t0 + 2 * hour - UnixTime(1)), KeyStatus::valid);
    EXPECT_EQ(b.status(first, t0 + 2 * hour), KeyStatus::expired);
    EXPECT_EQ(b.status(second_key, t0 + 2 * hour), KeyStatus::valid);
    EXPECT_EQ(b.status(second_key, t0 + 3 * hour), KeyStatus::expired);
    EXPECT_EQ(b.status(third, t0 + 100 * hour), KeyStatus::valid);
    EXPECT_NE(b.make(RotateKey{id_of(first), "aaaaaaaaaa", {}, hour}), "") << "it has ended";
}

TEST(Registry, ARotationNeverExtendsValidity) {
    TestRegistry b = make_registry();
    const std::string text = b.issue(1, "birds", t0, t0 + hour);
    const std::string next = b.rotate(text, 2, 10 * hour);
    EXPECT_EQ(b.status(text, t0 + hour), KeyStatus::expired);
    EXPECT_EQ(b.status(next, t0 + hour), KeyStatus::expired)
        << "the follower lasts as long as its forerunner was to";
}

TEST(Registry, ARevokedKeyStaysInvalidWhateverTheClockDoes) {
    TestRegistry b = make_registry(5 * second);
    const std::string text = b.issue(1, "birds");
    EXPECT_EQ(b.make(RevokeKey{id_of(text), t0 + 60 * second, RevocationCause::leaked}), "");
    EXPECT_EQ(b.status(text, t0), KeyStatus::valid);
    EXPECT_EQ(b.status(text, t0 + 55 * second), KeyStatus::expired) << "a clock that is 5 s behind";
    EXPECT_EQ(b.status(text, t0), KeyStatus::expired) << "a step back is not followed";
    EXPECT_NE(b.make(RevokeKey{id_of(text), t0 + 600 * second, RevocationCause::requested}), "")
        << "an end is not put off";
    EXPECT_EQ(b.r.keys().at(id_of(text)).cause, RevocationCause::leaked);
}

TEST(Registry, KeysOfMergedAccountsCountForOneAccount) {
    TestRegistry b = make_registry();
    const std::string a = b.issue(1, "birds"), c = b.issue(2, "birds"), d = b.issue(3, "rival");
    EXPECT_EQ(b.r.look_up(a, t0).account, b.r.look_up(c, t0).account);
    EXPECT_EQ(b.make(MergeAccounts{"rival", "birds"}), "");
    EXPECT_EQ(b.r.look_up(d, t0).account, "birds");
    EXPECT_EQ(b.r.look_up(d, t0).plan, "basic");
    EXPECT_NE(b.make(MergeAccounts{"birds", "rival"}), "") << "no circle";
    EXPECT_NE(b.make(MergeAccounts{"birds", "birds"}), "");
    EXPECT_NE(b.make(PutAccount{"rival", "gold"}), "");
}

TEST(Registry, RemovingAPlanInUseMovesItsAccounts) {
    TestRegistry b = make_registry();
    const std::string text = b.issue(1, "birds");
    EXPECT_NE(b.make(RemovePlan{"basic", ""}), "");
    EXPECT_NE(b.make(RemovePlan{"basic", "basic"}), "");
    EXPECT_EQ(b.make(RemovePlan{"basic", "gold"}), "");
    EXPECT_EQ(b.r.look_up(text, t0).plan, "gold");
}

TEST(Registry, InvalidChangesAreRejectedWithoutEffect) {
    TestRegistry b = make_registry();
    const auto version = b.r.version();
    for (const std::uint64_t wrong : {version, version + 2}) {
        const auto error = b.r.apply({wrong, t0, AddPlan{"x"}});
        ASSERT_TRUE(error);
        EXPECT_EQ(error->code, ChangeErrorCode::version_mismatch);
        EXPECT_NE(error->message, "");
    }
    EXPECT_NE(b.make(AddPlan{"a b"}), "");
    EXPECT_NE(b.make(AddPlan{std::string(300, 'x')}), "");
    EXPECT_EQ(b.r.version(), version);
    EXPECT_EQ(b.r.plans().size(), 2u);
}

// The registry against a model so simple that it can be read off: every key with its own two
// moments.
TEST(Registry, AgreesWithASimpleModel) {
    struct Moments {
        std::string text;
        UnixTime start, end;
        bool rotated = false;
    };
    const bool good = rc::check("what is served", [] {
        TestRegistry b = make_registry();
        std::vector<Moments> model;
        std::uint8_t next = 1;
        for (int step = 0; step < 30; ++step) {
            b.at += UnixTime(*rc::gen::inRange<std::int64_t>(0, 5000));
            const int what = *rc::gen::inRange(0, 4);
            const auto pick = [&]() -> Moments* {
                return model.empty() ? nullptr
                                     : &model[*rc::gen::inRange<std::size_t>(0, model.size())];
            };
            const UnixTime span(*rc::gen::inRange<std::int64_t>(1, 8000));
            if (what == 0 || model.empty()) {
                const std::string text = b.issue(next++, "birds", b.at, b.at + span);
                model.push_back({text, b.at, b.at + span});
            } else if (what == 1) {
                Moments* m = pick();
                const std::string text = key_text(next++);
                const bool may = m->end > b.at && !m->rotated;
                const std::string why = b.make(
                    RotateKey{id_of(m->text), id_of(text), hash_key(b.r.pepper(), text), span});
                RC_ASSERT(why.empty() == may);
                if (!may) continue;
                const UnixTime end = m->end;
                m->end = std::min(m->end, b.at + span), m->rotated = true;
                model.push_back({text, b.at, end});
            } else if (what == 2) {
                Moments* m = pick();
                const UnixTime end = b.at + span;
                const bool may = m->end > end;
                RC_ASSERT(
                    b.make(RevokeKey{id_of(m->text), end, RevocationCause::requested}).empty() ==
                    may);
                if (may) m->end = end;
            } else {
                for (const Moments& m : model)
                    RC_ASSERT((b.status(m.text, b.at) == KeyStatus::valid) ==
                              (m.start <= b.at && b.at < m.end));
            }
        }
    });
    EXPECT_TRUE(good);
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
        const auto back = decode_change(bytes);
        ASSERT_TRUE(back);
        EXPECT_EQ(encode_change(*back), bytes);
        for (std::size_t cut = 0; cut < bytes.size(); ++cut)
            EXPECT_FALSE(decode_change(bytes.substr(0, cut)));
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
        const std::size_t upto = acknowledged ? ends[acknowledged - 1] : 0;
        const std::string mark = encode_marker_slot({acknowledged, upto});
        for (std::size_t cut = 0; cut <= log.size(); ++cut) {
            const RecoveredLog r = recover_log(log.substr(0, cut), mark);
            if (cut < upto)
                EXPECT_TRUE(r.error) << cut;
            else
                EXPECT_GE(r.changes.size(), acknowledged) << cut;
            EXPECT_LE(r.valid_bytes, cut);
        }
        for (std::size_t at = 0; at < log.size(); ++at) {
            std::string bad = log;
            bad[at] = static_cast<char>(bad[at] ^ 0x20);
            const RecoveredLog r = recover_log(bad, mark);
            if (at < upto || at < log_magic.size())
                EXPECT_TRUE(r.error) << at;
            else
                EXPECT_GE(r.changes.size(), acknowledged);
        }
    }
}

namespace {
// Stops the writer at one of its calls, before it, half way through, or after it, as a kill would.
struct Killed {};
struct FaultyDisk : Disk {
    int calls = 0, kill_at = -1, part = 0;  // part: 0 nothing of the write is done, 1 half, 2 all
    int full_at = -1;
    bool write(int fd, std::uint64_t at, std::string_view bytes) override {
        const int call = calls++;
        if (call == full_at)
            return Disk::write(fd, at, bytes.substr(0, bytes.size() / 2)), errno = ENOSPC, false;
        if (call != kill_at) return Disk::write(fd, at, bytes);
        Disk::write(fd, at, bytes.substr(0, bytes.size() * static_cast<std::size_t>(part) / 2));
        throw Killed();
    }
    bool sync(int fd) override {
        if (calls++ == kill_at) throw Killed();
        return Disk::sync(fd);
    }
};
// Fails every call of a span, writes after their first half, and is killed at one.
struct FailingDisk : Disk {
    int calls = 0, fail_from = -1, fail_to = -1, kill_at = -1;
    int error = EIO;
    bool write(int fd, std::uint64_t at, std::string_view bytes) override {
        if (!fails()) return Disk::write(fd, at, bytes);
        Disk::write(fd, at, bytes.substr(0, bytes.size() / 2));
        return errno = error, false;
    }
    bool sync(int fd) override { return fails() ? (errno = error, false) : Disk::sync(fd); }
    bool truncate(int fd, std::uint64_t size) override {
        return fails() ? (errno = error, false) : Disk::truncate(fd, size);
    }
    bool fails() {
        const int call = calls++;
        if (call == kill_at) throw Killed();
        return call >= fail_from && call < fail_to;
    }
};
struct Folder {
    std::string name = "/tmp/silverreach-registry-XXXXXX";
    Folder() { mkdtemp(name.data()); }
    ~Folder() { std::system(("rm -rf '" + name + "'").c_str()); }
};
}  // namespace

TEST(Store, AKillAtEachWriteLosesNoAcknowledgedChange) {
    int points = 0;
    for (int kill_at = 0; kill_at < 200; ++kill_at)
        for (int part = 0; part < 3; ++part) {
            Folder f;
            std::vector<std::string> acknowledged;
            std::string tried;
            bool killed = false;
            {
                FaultyDisk disk;
                disk.kill_at = kill_at, disk.part = part;
                try {
                    Store store(f.name, Store::Mode::write, true, disk);
                    for (int i = 0; i < 4; ++i) {
                        tried = "plan" + std::to_string(i);
                        ASSERT_FALSE(store.commit(AddPlan{tried}, t0));
                        acknowledged.push_back(tried);
                    }
                } catch (const Killed&) {
                    killed = true;
                }
            }
            points += killed;
            Disk disk;
            Store again(f.name, Store::Mode::write, true, disk);
            for (const std::string& plan : acknowledged)
                EXPECT_TRUE(again.registry().plans().count(plan)) << kill_at << " " << plan;
            EXPECT_LE(again.registry().plans().size(), acknowledged.size() + 1)
                << "at most what was under way";
            EXPECT_FALSE(again.commit(AddPlan{"after"}, t0));
            if (!killed) {
                EXPECT_GE(points, 3 * 16)
                    << "the writes and syncs of four changes, and of the beginning";
                return;
            }
        }
    FAIL() << "never ran to its end";
}

TEST(Store, AFullDiskCommitsNoChangeAndLosesNone) {
    for (int full_at = 6; full_at < 22; ++full_at) {
        Folder f;
        std::vector<std::string> acknowledged;
        {
            FaultyDisk disk;
            disk.full_at = full_at;
            Store store(f.name, Store::Mode::write, true, disk);
            for (int i = 0; i < 4; ++i) {
                const std::string plan = "plan" + std::to_string(i);
                if (!store.commit(AddPlan{plan}, t0)) acknowledged.push_back(plan);
            }
            EXPECT_LT(acknowledged.size(), 5u);
        }
        Disk disk;
        Store again(f.name, Store::Mode::write, false, disk);
        for (const std::string& plan : acknowledged)
            EXPECT_TRUE(again.registry().plans().count(plan));
    }
}

TEST(Store, ASecondWriterIsRejectedAndReadersAreNot) {
    Folder f;
    Disk disk;
    Store first(f.name, Store::Mode::write, true, disk);
    EXPECT_FALSE(first.commit(AddPlan{"basic"}, t0));
    try {
        Store second(f.name, Store::Mode::write, true, disk);
        FAIL();
    } catch (const StoreError& error) {
        EXPECT_EQ(error.code(), StoreErrorCode::locked);
        EXPECT_NE(std::string(error.what()).find("another writer"), std::string::npos);
    }
    Store reader(f.name, Store::Mode::read, false, disk);
    EXPECT_EQ(reader.registry().plans().size(), 1u);
}

TEST(Store, DiskFailuresFollowedByAKillLoseNoAcknowledgedChange) {
    constexpr int first_call = 6, last_call = 30;  // after the making of the folder
    for (int fail_from = first_call; fail_from < last_call; ++fail_from)
        for (int span = 1; span <= 4; ++span)
            for (int kill_at = fail_from + 1; kill_at < fail_from + 8; ++kill_at) {
                Folder f;
                std::vector<std::string> acknowledged, not_made;
                FailingDisk disk;
                disk.fail_from = fail_from, disk.fail_to = fail_from + span, disk.kill_at = kill_at;
                try {
                    Store store(f.name, Store::Mode::write, true, disk);
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
                Disk well;
                Store again(f.name, Store::Mode::write, true, well);
                const std::string where = std::to_string(fail_from) + "+" + std::to_string(span) +
                                          ", killed at " + std::to_string(kill_at);
                for (const std::string& plan : acknowledged)
                    EXPECT_TRUE(again.registry().plans().count(plan)) << where << ": lost " << plan;
                for (const std::string& plan : not_made)
                    EXPECT_FALSE(again.registry().plans().count(plan))
                        << where << ": made " << plan;
            }
}

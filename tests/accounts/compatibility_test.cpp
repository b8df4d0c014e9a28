// Guards against a change of the stored format: this version must read, and append to, a registry
// that the program of commit e37c333 wrote.
//
// data/registry_e37c333 holds the folder that `silverreach keys` of that commit wrote: two plans,
// two accounts, six keys issued, one of them by a rotation, three revocations.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "accounts/change_log.h"
#include "registry/store.h"

using namespace silverreach::accounts;
using silverreach::registry::Disk;
using silverreach::registry::Store;

namespace {
const std::filesystem::path recorded_folder =
    std::filesystem::path(TEST_DATA_DIR) / "registry_e37c333";
constexpr std::uint64_t recorded_version = 13;
constexpr std::size_t recorded_log_bytes = 937;

// The key texts that `keys issue` and `keys rotate` printed.
const std::string rotated_key = "srk_zfdzmx3tpm_5hr41vwknhdwv913egmee89x8v0ybxagbyjx";
const std::string key_valid_for_an_hour = "srk_4zeqs20daf_ttf1m6x1kdf8820rdw5amfkpsyzmh6zm772v";
const std::string key_starting_later = "srk_e82mak1jc3_2q53d9kh23dpmsjv1jf19sz1g4smz1f2498k";
const std::string leaked_key = "srk_2qb6r3ykn9_7f5gkkhjg2gn3y63b5avc4z7t75w44wvtm0r";
const std::string successor_key = "srk_aw11263qq3_nwf3g2jsgm5vryh1q1bjfz6x2jt6rb9yfzqx";
const std::string key_revoked_on_request = "srk_wghw36rfaw_cjbe6z1znefg9kh2a2b6r1btvbxs6rcyjpdb";

std::string id_of(const std::string& text) {
    return std::string(parse_key(text).id);
}
std::string read_file(const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

// A copy of the recorded folder, since opening a registry for writing creates a lock file and
// appending changes the log and the marker.
struct RecordedRegistry {
    std::string folder = "/tmp/silverreach-recorded-XXXXXX";
    Disk disk;
    RecordedRegistry() {
        mkdtemp(folder.data());
        for (const char* name : {"log", "mark", "secret"})
            std::filesystem::copy_file(recorded_folder / name,
                                       std::filesystem::path(folder) / name);
    }
    ~RecordedRegistry() { std::filesystem::remove_all(folder); }
    Store open(Store::Mode mode) { return Store(folder, mode, false, disk); }
    std::string log() const { return read_file(std::filesystem::path(folder) / "log"); }
    std::string mark() const { return read_file(std::filesystem::path(folder) / "mark"); }
};

void expect_key(const Registry& registry, const std::string& text, const std::string& account,
                std::int64_t valid_from_unix_ms, UnixTime valid_until, RevocationCause cause,
                const std::string& successor = "") {
    SCOPED_TRACE(text);
    ASSERT_TRUE(registry.keys().contains(id_of(text)));
    const Key& key = registry.keys().at(id_of(text));
    EXPECT_EQ(key.account, account);
    EXPECT_EQ(key.hash, hash_key(registry.pepper(), text));
    EXPECT_EQ(key.valid_from, UnixTime(valid_from_unix_ms));
    EXPECT_EQ(key.valid_until, valid_until);
    EXPECT_EQ(key.cause, cause);
    EXPECT_EQ(key.successor, successor);
}

void expect_recorded_keys(const Registry& registry) {
    expect_key(registry, rotated_key, "wetlands", 1'796'286'147'457, UnixTime(1'796'286'747'586),
               RevocationCause::none, id_of(successor_key));
    expect_key(registry, successor_key, "wetlands", 1'796'286'147'586, never,
               RevocationCause::none);
    expect_key(registry, key_valid_for_an_hour, "wetlands", 1'796'286'147'490,
               UnixTime(1'796'289'747'490), RevocationCause::none);
    expect_key(registry, key_starting_later, "rival", 1'796'293'347'517,
               UnixTime(1'796'296'947'635), RevocationCause::account_closed);
    expect_key(registry, leaked_key, "rival", 1'796'286'147'553, UnixTime(1'796'286'147'618),
               RevocationCause::leaked);
    expect_key(registry, key_revoked_on_request, "rival", 1'796'286'147'654,
               UnixTime(1'796'286'147'690), RevocationCause::requested);
}
}  // namespace

TEST(RecordedRegistry, PlansAccountsAndKeysAreReadAsWritten) {
    RecordedRegistry copy;
    for (const Store::Mode mode : {Store::Mode::read, Store::Mode::write}) {
        Store store = copy.open(mode);
        const Registry& registry = store.registry();
        EXPECT_EQ(registry.version(), recorded_version);
        EXPECT_EQ(registry.plans(),
                  (std::map<std::string, std::uint64_t>{{"basic", 1}, {"gold", 2}}));
        ASSERT_EQ(registry.accounts().size(), 2u);
        EXPECT_EQ(registry.accounts().at("wetlands").plan, "basic");
        EXPECT_EQ(registry.accounts().at("rival").plan, "gold");
        for (const auto& [name, account] : registry.accounts())
            EXPECT_EQ(account.merged_into, "") << name;
        EXPECT_EQ(registry.keys().size(), 6u);
        expect_recorded_keys(registry);
    }
    EXPECT_EQ(copy.log(), read_file(recorded_folder / "log"))
        << "opening changes no byte of the log";
    EXPECT_EQ(copy.mark(), read_file(recorded_folder / "mark"));
}

TEST(RecordedRegistry, KeysAreServedWithinTheirValidityWindows) {
    RecordedRegistry copy;
    Store store = copy.open(Store::Mode::read);
    // In ascending order, since a registry ignores a clock that steps back.
    const UnixTime in_overlap(1'796'286'148'000), after_overlap(1'796'286'747'586),
        after_an_hour(1'796'289'747'490), late_start(1'796'293'347'517),
        revocation(1'796'296'947'635);
    const auto status = [&](const std::string& text, UnixTime now) {
        return store.registry().look_up(text, now).status;
    };
    EXPECT_EQ(status(rotated_key, in_overlap), KeyStatus::valid);
    EXPECT_EQ(status(successor_key, in_overlap), KeyStatus::valid);
    EXPECT_EQ(status(key_valid_for_an_hour, in_overlap), KeyStatus::valid);
    EXPECT_EQ(status(key_starting_later, in_overlap), KeyStatus::not_yet_valid);
    EXPECT_EQ(status(leaked_key, in_overlap), KeyStatus::expired);
    EXPECT_EQ(status(key_revoked_on_request, in_overlap), KeyStatus::expired);
    EXPECT_EQ(status(rotated_key, after_overlap - UnixTime(1)), KeyStatus::valid);
    EXPECT_EQ(status(rotated_key, after_overlap), KeyStatus::expired);
    EXPECT_EQ(status(key_valid_for_an_hour, after_an_hour - UnixTime(1)), KeyStatus::valid);
    EXPECT_EQ(status(key_valid_for_an_hour, after_an_hour), KeyStatus::expired);
    EXPECT_EQ(status(key_starting_later, late_start - UnixTime(1)), KeyStatus::not_yet_valid);
    EXPECT_EQ(status(key_starting_later, late_start), KeyStatus::valid);
    EXPECT_EQ(status(key_starting_later, revocation), KeyStatus::expired);
    const KeyLookup lookup = store.registry().look_up(successor_key, revocation);
    EXPECT_EQ(lookup.status, KeyStatus::valid);
    EXPECT_EQ(lookup.account, "wetlands");
    EXPECT_EQ(lookup.plan, "basic");
    EXPECT_EQ(lookup.key_id, id_of(successor_key));
}

TEST(RecordedRegistry, EncodingItsChangesAgainResultsInTheSameBytes) {
    const std::string log = read_file(recorded_folder / "log");
    ASSERT_EQ(log.size(), recorded_log_bytes);
    const RecoveredLog recovered = recover_log(log, read_file(recorded_folder / "mark"));
    EXPECT_FALSE(recovered.error);
    ASSERT_EQ(recovered.changes.size(), recorded_version);
    EXPECT_EQ(recovered.valid_bytes, recorded_log_bytes);
    std::string encoded(log_magic);
    for (const Change& change : recovered.changes)
        encoded += encode_record(change);
    EXPECT_EQ(encoded, log);
}

TEST(RecordedRegistry, AppendingKeepsTheExistingBytesAndAdvancesTheCommitMarker) {
    RecordedRegistry copy;
    const UnixTime at(1'796'286'200'000);
    {
        Store store = copy.open(Store::Mode::write);
        ASSERT_FALSE(store.commit(AddPlan{"silver"}, at));
        ASSERT_FALSE(store.commit(PutAccount{"rival", "silver"}, at));
        ASSERT_FALSE(
            store.commit(RevokeKey{id_of(successor_key), at, RevocationCause::leaked}, at));
    }
    EXPECT_TRUE(copy.log().starts_with(read_file(recorded_folder / "log")));
    EXPECT_EQ(copy.mark().size(), 2 * marker_slot_bytes);
    const auto marker = decode_marker(copy.mark());
    ASSERT_TRUE(marker);
    EXPECT_EQ(marker->sequence, recorded_version + 3);
    EXPECT_EQ(marker->committed_bytes, copy.log().size());

    Store reader = copy.open(Store::Mode::read);
    EXPECT_EQ(reader.registry().version(), recorded_version + 3);
    EXPECT_TRUE(reader.registry().plans().contains("silver"));
    EXPECT_EQ(reader.registry().accounts().at("rival").plan, "silver");
    expect_key(reader.registry(), successor_key, "wetlands", 1'796'286'147'586, at,
               RevocationCause::leaked);
    expect_key(reader.registry(), leaked_key, "rival", 1'796'286'147'553,
               UnixTime(1'796'286'147'618), RevocationCause::leaked);
}

TEST(RecordedRegistry, DamageBelowItsCommitMarkerIsRejected) {
    const std::string log = read_file(recorded_folder / "log");
    const std::string mark = read_file(recorded_folder / "mark");
    EXPECT_TRUE(recover_log(log.substr(0, log.size() - 1), mark).error);
    for (std::size_t at = 0; at < log.size(); ++at) {
        std::string damaged = log;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        EXPECT_TRUE(recover_log(damaged, mark).error) << at;
    }
    const RecoveredLog incomplete = recover_log(log + "torn", mark);
    EXPECT_FALSE(incomplete.error);
    EXPECT_EQ(incomplete.valid_bytes, recorded_log_bytes)
        << "the incomplete record beyond the marker is truncated";
}

#include "accounts/journal.h"

#include <xxhash.h>

namespace silverreach::accounts {
namespace {
constexpr std::size_t record_head = 12;

class Writer {
  public:
    void number(std::uint64_t value, int bytes) {
        for (int i = bytes - 1; i >= 0; --i)
            out.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
    }
    void text(std::string_view t) {
        number(t.size(), 4);
        out.append(t);
    }
    void hash(const Hash& h) { out.append(reinterpret_cast<const char*>(h.data()), h.size()); }
    void wall(Wall w) { number(static_cast<std::uint64_t>(w.count()), 8); }
    std::string out;
};

class Reader {
  public:
    explicit Reader(std::string_view bytes) : in_(bytes) {}
    std::uint64_t number(int bytes) {
        std::uint64_t value = 0;
        for (int i = 0; i < bytes; ++i)
            value = value << 8 | byte();
        return value;
    }
    std::string text() {
        const std::uint64_t size = number(4);
        if (size > in_.size()) return good_ = false, std::string();
        std::string out(in_.substr(0, size));
        in_.remove_prefix(size);
        return out;
    }
    Hash hash() {
        Hash h{};
        for (auto& b : h)
            b = byte();
        return h;
    }
    Wall wall() { return Wall(static_cast<std::int64_t>(number(8))); }
    bool done() const { return good_ && in_.empty(); }

  private:
    std::uint8_t byte() {
        if (in_.empty()) return good_ = false, std::uint8_t(0);
        const auto b = static_cast<std::uint8_t>(in_.front());
        in_.remove_prefix(1);
        return b;
    }
    std::string_view in_;
    bool good_ = true;
};

std::uint64_t checksum(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}
}  // namespace

std::string encode(const Change& c) {
    Writer w;
    w.number(c.version, 8);
    w.wall(c.at);
    w.number(c.deed.index(), 1);
    if (const auto* d = std::get_if<AddPlan>(&c.deed)) w.text(d->plan);
    if (const auto* d = std::get_if<RemovePlan>(&c.deed)) w.text(d->plan), w.text(d->successor);
    if (const auto* d = std::get_if<PutAccount>(&c.deed)) w.text(d->account), w.text(d->plan);
    if (const auto* d = std::get_if<MergeAccounts>(&c.deed)) w.text(d->from), w.text(d->into);
    if (const auto* d = std::get_if<IssueKey>(&c.deed))
        w.text(d->id), w.text(d->account), w.hash(d->hash), w.wall(d->start), w.wall(d->cutoff);
    if (const auto* d = std::get_if<RotateKey>(&c.deed))
        w.text(d->id), w.text(d->successor), w.hash(d->hash), w.wall(d->overlap);
    if (const auto* d = std::get_if<RevokeKey>(&c.deed))
        w.text(d->id), w.wall(d->cutoff), w.number(static_cast<std::uint64_t>(d->cause), 1);
    return std::move(w.out);
}

std::optional<Change> decode(std::string_view bytes) {
    Reader r(bytes);
    Change c;
    c.version = r.number(8);
    c.at = r.wall();
    switch (r.number(1)) {
        case 0:
            c.deed = AddPlan{r.text()};
            break;
        case 1: {
            RemovePlan d{r.text(), {}};
            d.successor = r.text();
            c.deed = d;
            break;
        }
        case 2: {
            PutAccount d{r.text(), {}};
            d.plan = r.text();
            c.deed = d;
            break;
        }
        case 3: {
            MergeAccounts d{r.text(), {}};
            d.into = r.text();
            c.deed = d;
            break;
        }
        case 4: {
            IssueKey d;
            d.id = r.text(), d.account = r.text(), d.hash = r.hash(), d.start = r.wall(),
            d.cutoff = r.wall();
            c.deed = d;
            break;
        }
        case 5: {
            RotateKey d;
            d.id = r.text(), d.successor = r.text(), d.hash = r.hash(), d.overlap = r.wall();
            c.deed = d;
            break;
        }
        case 6: {
            RevokeKey d;
            d.id = r.text(), d.cutoff = r.wall();
            const auto cause = r.number(1);
            if (cause > static_cast<std::uint64_t>(Cause::merged)) return std::nullopt;
            d.cause = static_cast<Cause>(cause);
            c.deed = d;
            break;
        }
        default:
            return std::nullopt;
    }
    return r.done() ? std::optional(c) : std::nullopt;
}

std::string record_of(const Change& change) {
    const std::string body = encode(change);
    Writer w;
    w.number(body.size(), 4);
    w.number(checksum(body), 8);
    return w.out + body;
}

std::string slot_of(const Mark& mark) {
    Writer w;
    w.number(mark.sequence, 8);
    w.number(mark.acknowledged, 8);
    w.number(checksum(w.out), 8);
    return std::move(w.out);
}
std::optional<Mark> read_mark(std::string_view bytes) {
    std::optional<Mark> best;
    for (std::size_t at = 0; at + slot_size <= bytes.size(); at += slot_size) {
        const std::string_view slot = bytes.substr(at, slot_size);
        Reader r(slot);
        const Mark m{r.number(8), r.number(8)};
        if (r.number(8) == checksum(slot.substr(0, 16)) && (!best || m.sequence > best->sequence))
            best = m;
    }
    return best;
}

Recovered recover(std::string_view log, std::string_view mark_bytes, bool acknowledged_only) {
    Recovered out;
    const auto mark = read_mark(mark_bytes);
    // The mark is whole before the log's first bytes are written, and one of its slots is at any
    // time after that.
    if (!mark && log.size() >= log_magic.size())
        return out.problem = "the mark of what was acknowledged is damaged or gone", out;
    if (mark) out.mark = *mark;
    const auto refuse = [&](std::size_t at, const std::string& why) {
        out.problem =
            "at byte " + std::to_string(at) + ": " + why + "; acknowledged changes would be lost";
        out.changes.clear();
    };
    if (log.size() < log_magic.size() || !log.starts_with(log_magic)) {
        // A log that is not begun yet: nothing was acknowledged, and what is there is a beginning
        // of the magic.
        if (out.mark.acknowledged == 0 && log_magic.starts_with(log)) return out;
        return refuse(0, "no log of this version"), out;
    }
    if (out.mark.acknowledged > log.size())
        return refuse(log.size(), "the log is shorter than what was acknowledged"), out;
    std::size_t at = log_magic.size();
    while (at < log.size() && !(acknowledged_only && at >= out.mark.acknowledged)) {
        const std::string_view rest = log.substr(at);
        Reader r(rest);
        const std::uint64_t size = rest.size() >= 4 ? r.number(4) : 0,
                            sum = rest.size() >= record_head ? r.number(8) : 0;
        const bool fits =
            rest.size() >= record_head && size <= most_record && rest.size() - record_head >= size;
        const std::string_view body = fits ? rest.substr(record_head, size) : std::string_view();
        const bool whole = fits && checksum(body) == sum;
        const auto change = whole ? decode(body) : std::nullopt;
        if (!change) {
            if (at < out.mark.acknowledged)
                return refuse(at, whole ? "a change of another version" : "a damaged change"), out;
            break;
        }
        out.changes.push_back(*change);
        at += record_head + size;
    }
    out.keep = at;
    return out;
}

}  // namespace silverreach::accounts

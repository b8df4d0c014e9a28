#include <charconv>

#include "upstream/resp/pool.h"

namespace silverreach::upstream_resp {
namespace {
using silverreach::resp::Kind;
using silverreach::resp::Reply;

// A figure that cannot be read, or that no load can be, tells nothing.
double figure(std::string_view text) {
    double value = -1;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size()) return -1;
    return value >= 0 && value <= 1e6 ? value : -1;
}
template <typename Call>
void each_pair(std::string_view text, Call call) {
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (const std::size_t is = pair.find('='); is != std::string_view::npos)
            call(pair.substr(0, is), figure(pair.substr(is + 1)));
    }
}
}  // namespace

LoadReport read_report(std::string_view text) {
    LoadReport report;
    each_pair(text, [&](std::string_view name, double value) {
        if (name == "queue" || name == "backlog")
            report.queued_requests = value;
        else if (name == "inflight" || name == "outstanding")
            report.in_flight_requests = value;
        else if (name == "util" || name == "utilization")
            report.utilization = value;
    });
    return report;
}

Answer read_answer(Reply reply) {
    Answer a;
    if (reply.kind == Kind::error) {
        if (reply.text == "BUSY" || reply.text.starts_with("BUSY ")) a.outcome = Outcome::rejected;
        if (const std::size_t space = reply.text.rfind(' '); space != std::string::npos)
            a.report = read_report(std::string_view(reply.text).substr(space + 1));
        return a;
    }
    if (reply.kind != Kind::array || reply.items.size() != 3 || reply.items[0].kind != Kind::bulk)
        return a;
    a.outcome = Outcome::success;
    a.value = std::move(reply.items[0].text);
    if (reply.items[1].kind == Kind::bulk)
        each_pair(reply.items[1].text, [&](std::string_view name, double value) {
            if (name == "cost" && value > 0) a.true_units = value;
        });
    if (reply.items[2].kind == Kind::bulk) a.report = read_report(reply.items[2].text);
    return a;
}

}  // namespace silverreach::upstream_resp

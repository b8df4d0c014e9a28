#include "discovery/endpoint_list_updater.h"

#include <sys/time.h>

#include "discovery/endpoint_list.h"

namespace silverreach::discovery {
namespace {
std::int64_t unix_ms_now() {
    timeval time{};
    gettimeofday(&time, nullptr);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_usec / 1000;
}
}  // namespace

EndpointListUpdater::EndpointListUpdater(event::Loop& loop, std::string cluster,
                                         EndpointDiscoveryCallbacks callbacks)
    : loop_(loop), cluster_(std::move(cluster)), callbacks_(std::move(callbacks)) {}

void EndpointListUpdater::update(std::string_view text, const std::string& source) {
    if (text == last_text_) return;
    last_text_ = text;
    EndpointList list;
    std::vector<openapi::Problem> problems;
    if (!parse_endpoint_list(text, source, cluster_, list, problems))
        return callbacks_.on_invalid_list(problems);
    version_ = list.version;
    std::vector<EndpointEntry> entries;
    entries.reserve(list.endpoints.size());
    const std::int64_t unix_ms = unix_ms_now();
    for (ListedEndpoint& listed : list.endpoints) {
        listed.entry.started_at =
            start_times_.convert(listed.entry.id, listed.started_unix_ms, loop_.now(), unix_ms);
        entries.push_back(std::move(listed.entry));
    }
    start_times_.retain_only(entries);
    callbacks_.on_endpoints(std::move(entries));
}

void EndpointListUpdater::report_unavailable(const DiscoveryError& error) const {
    callbacks_.on_unavailable(error);
}

}  // namespace silverreach::discovery

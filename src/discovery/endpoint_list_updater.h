// Turns the text of an endpoint list into entries and passes them on where the text has changed.
#pragma once

#include <string>
#include <string_view>

#include "discovery/endpoint_discovery.h"
#include "discovery/start_time_converter.h"

namespace silverreach::discovery {

class EndpointListUpdater {
  public:
    // Entries go to `on_endpoints` of `callbacks`, problems to `on_invalid_list`.
    EndpointListUpdater(event::Loop& loop, std::string cluster,
                        EndpointDiscoveryCallbacks callbacks);

    // `source` names the text in problems. The same text as before changes nothing.
    void update(std::string_view text, const std::string& source);
    void report_unavailable(const DiscoveryError& error) const;
    // Of the last valid list.
    const std::string& version() const { return version_; }

  private:
    event::Loop& loop_;
    std::string cluster_;
    EndpointDiscoveryCallbacks callbacks_;
    StartTimeConverter start_times_;
    std::string version_;
    std::string last_text_;
};

}  // namespace silverreach::discovery

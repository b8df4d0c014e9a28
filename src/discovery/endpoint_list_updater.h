// Parses the text of an endpoint list and reports its entries when the text has changed.
#pragma once

#include <string>
#include <string_view>

#include "discovery/endpoint_discovery.h"
#include "discovery/start_time_converter.h"

namespace silverreach::discovery {

class EndpointListUpdater {
  public:
    // Entries are passed to `on_endpoints` of `callbacks`, problems to `on_invalid_list`. `loop`
    // must outlive this.
    EndpointListUpdater(event::Loop& loop, std::string cluster,
                        EndpointDiscoveryCallbacks callbacks);

    // `source` names the text in problems. A text equal to the previous one has no effect.
    void update(std::string_view text, const std::string& source);
    void report_unavailable(const DiscoveryError& error) const;
    // The version of the last valid list.
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

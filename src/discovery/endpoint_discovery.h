// Keeps the gateway's endpoint list up to date from the source that the configuration names: a file
// (FileDiscovery) or a discovery service (RestDiscovery). The last valid list stays in use while
// the source is unavailable or invalid.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "discovery/discovery_error.h"
#include "event/loop.h"
#include "openapi/document.h"
#include "silverreach/interface.h"

namespace silverreach::discovery {

// Called on the loop's thread.
struct EndpointDiscoveryCallbacks {
    // The complete list, after each change.
    std::function<void(std::vector<EndpointEntry>)> on_endpoints;
    // A list that is not valid; the one before stays in use.
    std::function<void(const std::vector<openapi::Problem>&)> on_invalid_list;
    // The source cannot be read. Called once for an outage of the service, and at each change of a
    // file that cannot be read.
    std::function<void(const DiscoveryError&)> on_unavailable;
};

class EndpointDiscovery {
  public:
    EndpointDiscovery() = default;
    EndpointDiscovery(const EndpointDiscovery&) = delete;
    EndpointDiscovery& operator=(const EndpointDiscovery&) = delete;
    virtual ~EndpointDiscovery() = default;
};

// Starts discovery from the source that `config` names. `folder` is what a relative file name
// starts from. `loop` and `config` must outlive the result. A file is read before this returns.
std::unique_ptr<EndpointDiscovery> start_endpoint_discovery(event::Loop& loop,
                                                            const config::Config& config,
                                                            const std::string& folder,
                                                            EndpointDiscoveryCallbacks callbacks);

}  // namespace silverreach::discovery

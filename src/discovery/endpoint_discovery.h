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
    // Called with the complete list after each change.
    std::function<void(std::vector<EndpointEntry>)> on_endpoints;
    // Called with the problems of an invalid list; the previous list stays in use.
    std::function<void(const std::vector<openapi::Problem>&)> on_invalid_list;
    // Called when the source cannot be read: once per outage of the service, and on each change of
    // a file that cannot be read.
    std::function<void(const DiscoveryError&)> on_unavailable;
};

class EndpointDiscovery {
  public:
    EndpointDiscovery() = default;
    EndpointDiscovery(const EndpointDiscovery&) = delete;
    EndpointDiscovery& operator=(const EndpointDiscovery&) = delete;
    virtual ~EndpointDiscovery() = default;
};

// Starts discovery from the source that `config` names. A relative file name is resolved against
// `folder`. `loop` and `config` must outlive the result. Callbacks may be called before this
// returns: a file is read immediately.
std::unique_ptr<EndpointDiscovery> start_endpoint_discovery(event::Loop& loop,
                                                            const config::Config& config,
                                                            const std::string& folder,
                                                            EndpointDiscoveryCallbacks callbacks);

}  // namespace silverreach::discovery

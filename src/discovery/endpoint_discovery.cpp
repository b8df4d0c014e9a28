#include "discovery/endpoint_discovery.h"

#include "discovery/file_discovery.h"
#include "discovery/rest_discovery.h"

namespace silverreach::discovery {

std::unique_ptr<EndpointDiscovery> start_endpoint_discovery(event::Loop& loop,
                                                            const config::Config& config,
                                                            const std::string& folder,
                                                            EndpointDiscoveryCallbacks callbacks) {
    if (config.hosts().has_discovery())
        return std::make_unique<RestDiscovery>(loop, config, std::move(callbacks));
    const std::string& name = config.hosts().file();
    const std::string path = name.starts_with('/') ? name : folder + "/" + name;
    return std::make_unique<FileDiscovery>(loop, path, config.hosts().cluster(),
                                           std::move(callbacks));
}

}  // namespace silverreach::discovery

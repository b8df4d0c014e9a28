// Reads the endpoint list from a file, and reads it again whenever the file changes. A change that
// cannot be read is tried again until it can.
#pragma once

#include <string>

#include "discovery/endpoint_list_updater.h"
#include "event/file_watch.h"

namespace silverreach::discovery {

class FileDiscovery : public EndpointDiscovery {
  public:
    // Reads the file before the constructor returns. A file that cannot be read is reported, and is
    // watched nevertheless.
    FileDiscovery(event::Loop& loop, std::string path, std::string cluster,
                  EndpointDiscoveryCallbacks callbacks);

  private:
    void read_file();
    void on_unreadable();

    std::string path_;
    EndpointListUpdater updater_;
    bool is_unreadable_ = false;  // reported, and not read since
    event::FileWatch file_watch_;
};

}  // namespace silverreach::discovery

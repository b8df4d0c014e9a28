// Follows the list of hosts: a watched file, or a discovery service asked again and again (xDS v3
// REST-JSON).
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "discovery/endpoints.h"
#include "event/file_watch.h"
#include "event/stream.h"
#include "http/parser.h"

namespace silverreach::discovery {

class Roster {
  public:
    struct Hooks {
        std::function<void(std::vector<EndpointEntry>)>
            changed;  // the whole list, where it changed
        std::function<void(const std::vector<openapi::Problem>&)>
            bad;                                              // a list that cannot be used
        std::function<void(const std::string&)> unreachable;  // told once, until it answers again
    };
    // `folder` is what a relative file name starts from.
    Roster(event::Loop& loop, const config::Config& config, const std::string& folder, Hooks hooks);
    ~Roster();

  private:
    class Asker;
    void read_file();
    void take(std::string_view text, const std::string& source);

    event::Loop& loop_;
    const config::Config& config_;
    Hooks hooks_;
    std::string file_;
    StartTimes starts_;
    std::string version_, last_text_;
    std::unique_ptr<event::FileWatch> watch_;
    std::unique_ptr<Asker> asker_;
};

}  // namespace silverreach::discovery

#include "discovery/file_discovery.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace silverreach::discovery {
namespace {
using namespace std::chrono_literals;
constexpr Micros file_check_interval = 200ms;
}  // namespace

FileDiscovery::FileDiscovery(event::Loop& loop, std::string path, std::string cluster,
                             EndpointDiscoveryCallbacks callbacks)
    : path_(std::move(path)),
      updater_(loop, std::move(cluster), std::move(callbacks)),
      file_watch_(loop, path_, file_check_interval, [this] { read_file(); }) {
    read_file();
}

void FileDiscovery::read_file() {
    std::ifstream in(path_, std::ios::binary);
    if (!in) return on_unreadable();
    std::ostringstream text;
    text << in.rdbuf();
    if (in.bad() || text.bad()) return on_unreadable();
    is_unreadable_ = false;
    file_watch_.report(event::FileWatch::ReadResult::complete);
    updater_.update(text.str(), path_);
}

void FileDiscovery::on_unreadable() {
    file_watch_.report(event::FileWatch::ReadResult::failed);
    if (std::exchange(is_unreadable_, true)) return;
    updater_.report_unavailable({DiscoveryErrorCode::unreadable_file, path_,
                                 "cannot be read; the last valid list stays in use"});
}

}  // namespace silverreach::discovery

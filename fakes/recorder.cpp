#include "fakes/recorder.h"

#include <stdexcept>

namespace silverreach::fakes {

Recorder::Recorder(const std::string& file) : file_(file) {
    if (!file_) throw std::runtime_error(file + ": cannot be written");
}
void Recorder::add(Micros at, const char* who, const char* what, nlohmann::json fields) {
    fields["t"] = at.count(), fields["who"] = who, fields["what"] = what;
    if (file_.is_open())
        file_ << fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    records_.push_back(std::move(fields));
}

}  // namespace silverreach::fakes

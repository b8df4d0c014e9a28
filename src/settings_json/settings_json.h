// Reads the settings of an instance from JSON. The simulator's message that starts an instance and
// the node's configuration file contain the same object. The protocol defines the names of its
// keys; only this reader maps them to the fields of Settings.
#pragma once

#include "settings_json/json_reader.h"
#include "silverreach/interface.h"

namespace silverreach::settings_json {

// Throws ValueError. Does not check the settings as silverreach::validate() does.
Settings read_settings(object source);

}  // namespace silverreach::settings_json

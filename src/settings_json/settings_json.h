// Reads the settings of an instance from JSON: the simulator's first message and the node's
// configuration file hold the same object. The names of its keys are given by the protocol; they
// are mapped to the fields of Settings here and nowhere else.
#pragma once

#include "settings_json/json_reader.h"
#include "silverreach/interface.h"

namespace silverreach::settings_json {

// Throws ValueError. Whether an engine can work with the settings is for silverreach::validate.
Settings read_settings(object source);

}  // namespace silverreach::settings_json

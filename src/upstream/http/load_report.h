// Reads the load that a host reports in the response field `endpoint-load-metrics` (ORCA).
#pragma once

#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::upstream_http {

// Takes the forms "JSON {...}" and "TEXT name=value,...". Figures that cannot be read, and other
// forms, leave the report's fields unset.
LoadReport parse_load_report(std::string_view field);

}  // namespace silverreach::upstream_http

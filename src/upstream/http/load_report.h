// Parses the load that a host reports in the response field `endpoint-load-metrics` (ORCA).
#pragma once

#include <string_view>

#include "silverreach/interface.h"

namespace silverreach::upstream_http {

// Accepts the formats "JSON {...}" and "TEXT name=value,...". Values that cannot be parsed and
// fields in another format leave the members of the report unset.
LoadReport parse_load_report(std::string_view field);

}  // namespace silverreach::upstream_http

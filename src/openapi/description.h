// Reads an OpenAPI 3.0 or 3.1 description into routes with class, units and idempotency. No I/O.
//
// Extensions may be set on an operation, a path item or the root; the most specific one applies:
//   x-silverreach-class: NAME            the request class
//   x-silverreach-units: NUMBER          the units that a request costs
//   x-silverreach-units-from: {in: header|query|path, name: NAME}
//                                        the parameter in which a request states its units
//   x-silverreach-effect: safe|keyed|unsafe
//                                        overrides the idempotency that follows from the method
#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"
#include "openapi/route.h"

namespace silverreach::openapi {

// The operator's policy for operations without class or units.
struct Policy {
    std::set<std::string> classes;  // configured classes; empty: any name is accepted
    // True: an operation without class or units is an error. False: it gets the defaults below.
    bool reject_unpriced = true;
    std::string default_class;
    double default_units = 1;
    double max_units = 4095;  // per request; messages between gateways cannot carry more
};

struct Description {
    std::string title, version;
    RouteTable table;
    std::vector<std::string> notes;  // for display: parts of the description that are ignored
};

// Returns null for an invalid description, with every problem appended to `problems`.
std::shared_ptr<const Description> load(std::string_view text, const std::string& file,
                                        const Policy& policy, std::vector<Problem>& problems);

// Formats the routes as a table for display.
std::string format_routes(const Description& description);

}  // namespace silverreach::openapi

// Reads an OpenAPI 3.0 or 3.1 description into routes with class, units and effect. No I/O.
//
// Extensions, on an operation, a path item or the root, the nearest winning:
//   x-silverreach-class: NAME            the class of requests
//   x-silverreach-units: NUMBER          the units that a request draws from the quota
//   x-silverreach-units-from: {in: header|query|path, name: NAME}   where the request itself tells
//   them x-silverreach-effect: safe|keyed|unsafe
#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"
#include "openapi/route.h"

namespace silverreach::openapi {

// The operator's policy for what a description leaves out.
struct Policy {
    std::set<std::string> classes;  // known ones; empty: any name is taken
    bool reject_unpriced =
        true;  // an operation without class or units is an error, else these count:
    std::string default_class;
    double default_units = 1;
    double max_units = 4095;  // what a message between gateways can carry
};

struct Description {
    std::string title, version;
    RouteTable table;
    std::vector<std::string> notes;  // what is passed over, for people
};

// Nothing and every problem found where the text cannot be used.
std::shared_ptr<const Description> load(std::string_view text, const std::string& file,
                                        const Policy& policy, std::vector<Problem>& problems);

// The routes as a table for people.
std::string format_routes(const Description& description);

}  // namespace silverreach::openapi

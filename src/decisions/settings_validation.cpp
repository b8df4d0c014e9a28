// Checks that an engine can run with the settings.
#include <algorithm>
#include <stdexcept>

#include "silverreach/interface.h"

namespace silverreach {
namespace {
void require(bool condition, const char* message) {
    if (!condition) throw std::invalid_argument(message);
}
}  // namespace

void validate(const Settings& settings) {
    require(settings.rank >= 0 && settings.rank < settings.instance_count,
            "settings: rank must be at least 0 and below instance_count");
    require(settings.max_attempts >= 1, "settings: max_attempts must be at least 1");
    require(settings.max_customers >= 1, "settings: max_customers must be at least 1");
    for (const Plan& plan : settings.plans)
        require(std::min({plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst}) >= 0,
                "settings: rates and bursts of a plan must not be negative");
    for (const RequestClass& request_class : settings.classes)
        require(request_class.deadline.count() > 0 && request_class.latency_objective.count() > 0,
                "settings: deadline and latency_objective of a request class must be above 0");
}

}  // namespace silverreach

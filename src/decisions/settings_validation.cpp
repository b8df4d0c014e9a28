// Whether settings can work at all. No decision.
#include <algorithm>
#include <stdexcept>

#include "silverreach/interface.h"

namespace silverreach {

void validate(const Settings& s) {
    const auto need = [](bool fine, const char* what) {
        if (!fine) throw std::invalid_argument(what);
    };
    need(s.rank >= 0 && s.rank < s.instance_count, "settings: rank must lie within instances");
    need(s.max_attempts >= 1, "settings: max_attempts must be 1 at least");
    for (const Plan& p : s.plans)
        need(std::min({p.rate, p.burst, p.ceiling_rate, p.ceiling_burst}) >= 0,
             "settings: plan figures below 0");
    for (const RequestClass& c : s.classes)
        need(c.deadline.count() > 0 && c.latency_objective.count() > 0,
             "settings: a class needs an aim and a deadline above 0");
}

}  // namespace silverreach

#include "decisions/retry/retry_budget.h"

namespace silverreach {
namespace {
constexpr double budget_decay_s = 10;
constexpr double retries_per_first_attempt = 0.15;
constexpr double min_retries = 5;  // within the time constant, for instances with little traffic
}  // namespace

void RetryBudget::on_first_attempt(Micros now) {
    first_attempts_.add(1, now, budget_decay_s);
}

bool RetryBudget::try_spend(Micros now) {
    const double allowed =
        first_attempts_.value(now, budget_decay_s) * retries_per_first_attempt + min_retries;
    if (retries_.value(now, budget_decay_s) + 1 > allowed) return false;
    retries_.add(1, now, budget_decay_s);
    return true;
}

}  // namespace silverreach

// The command line. Exit codes: 0 done, 1 the answer is no (a bad file, a broken rule), 2 wrong
// usage, 3 the system refused something (a socket, a file).
#pragma once

#include <chrono>

namespace silverreach::cli {

// Between tries of a start, and for how long it is tried, where the system refuses a socket or an
// address.
constexpr std::chrono::milliseconds start_again{50}, start_most{8'000};

enum Exit {
    done = 0,
    bad_answer = 1,
    bad_usage = 2,
    system_refused = 3
};
int run(int argc, char** argv);

}  // namespace silverreach::cli

// The command line.
#pragma once

#include <chrono>

namespace silverreach::cli {

// A start that fails because the system refuses a socket or an address is retried at the first
// interval, until the second has passed.
constexpr std::chrono::milliseconds start_again{50}, start_most{8'000};

// Exit codes.
enum Exit {
    done = 0,
    bad_answer = 1,  // an invalid file, a violated rule
    bad_usage = 2,
    system_refused = 3  // an operation of the system failed, such as opening a socket or a file
};
// Parses the command line and runs the command. Returns the exit code.
int run(int argc, char** argv);

}  // namespace silverreach::cli

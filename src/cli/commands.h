// The command line.
#pragma once

#include <chrono>

namespace silverreach::cli {

// A start that fails because the system refuses a socket or an address is retried every
// `start_retry_interval` until `max_start_time` has passed.
constexpr std::chrono::milliseconds start_retry_interval{50}, max_start_time{8'000};

// Exit codes.
enum Exit {
    success = 0,
    check_failed = 1,  // an invalid file, a violated rule
    usage_error = 2,
    system_error = 3  // an operation of the system failed, such as opening a socket or a file
};
// Parses the command line and runs the command. Returns the exit code.
int run(int argc, char** argv);

}  // namespace silverreach::cli

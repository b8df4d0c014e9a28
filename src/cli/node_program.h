// The process of `silverreach node`: start, signals and exit.
#pragma once

namespace silverreach::cli {

// Runs the gateway that the file in NODE_CONFIG describes until a signal ends it. Returns the exit
// code.
int run_node();

}  // namespace silverreach::cli

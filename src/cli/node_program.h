// `silverreach node` as a process: its start, its signals and its end.
#pragma once

namespace silverreach::cli {

// Returns the exit code.
int run_node();

}  // namespace silverreach::cli

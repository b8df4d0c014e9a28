// The commands that manage the registry of accounts, plans and keys.
#pragma once

namespace CLI {
class App;
}

namespace silverreach::cli {

// Adds them to `app`; each stores its exit code in `exit_code`.
void add_key_commands(CLI::App& app, int& exit_code);

}  // namespace silverreach::cli

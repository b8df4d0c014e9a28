// The commands that manage the registry of accounts, plans and keys.
#pragma once

namespace CLI {
class App;
}

namespace silverreach::cli {

// Adds them to `app`; each stores its exit code in `code`.
void add_key_commands(CLI::App& app, int& code);

}  // namespace silverreach::cli

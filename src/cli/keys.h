// The commands that keep the registry of accounts, plans and keys.
#pragma once

namespace CLI {
class App;
}

namespace silverreach::cli {

void add_key_commands(CLI::App& app, int& code);

}  // namespace silverreach::cli

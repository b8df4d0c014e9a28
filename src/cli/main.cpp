#include "cli/commands.h"

int main(int argc, char** argv) {
    return silverreach::cli::run(argc, argv);
}

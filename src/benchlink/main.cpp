// Adapter between the simulator and the decision engine: reads messages of the wire protocol from
// standard input and writes replies to standard output. Exits with 2 after an error, such as a
// malformed line.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "bench_link.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        silverreach::benchlink::BenchLink link;
        std::string line;
        std::string out;
        while (std::getline(std::cin, line)) {
            if (!link.handle_line(line, out)) continue;
            std::fwrite(out.data(), 1, out.size(), stdout);
            std::fflush(stdout);
            out.clear();
        }
    } catch (const std::exception& error) {
        std::cerr << "silverreach_benchlink: " << error.what() << '\n';
        return 2;
    }
    return 0;
}

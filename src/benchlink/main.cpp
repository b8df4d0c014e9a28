#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "link.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        silverreach::benchlink::Link link;
        std::string line, out;
        while (std::getline(std::cin, line)) {
            if (!link.take_line(line, out)) continue;
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

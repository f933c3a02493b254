#include <iostream>

#include "baobabrack/ctl/program.hpp"

int main(int argc, char** argv) {
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    return static_cast<int>(baobabrack::ctl::run_program(arguments, std::cout, std::cerr));
}

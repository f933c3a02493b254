#include "runner/script_command.hpp"

#include <iostream>

#include "script/script_runner.hpp"

namespace baobabrack::scenario {

int run_scripts(const script_command& command) {
    int code = 0;
    for (const auto& file : command.files) {
        const auto trouble = run_script(file, command.seed);
        std::cout << file << " seed " << command.seed << ": "
                  << (trouble.empty() ? "held" : trouble) << '\n';
        code = trouble.empty() ? code : 1;
    }
    return code;
}

}  // namespace baobabrack::scenario

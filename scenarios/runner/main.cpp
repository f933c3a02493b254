#include <CLI/CLI.hpp>

#include "runner/fuzz_command.hpp"
#include "runner/script_command.hpp"

int main(int argc, char** argv) {
    using namespace baobabrack::scenario;

    CLI::App app{"Runs scenarios and random faults against baobabrack's decision code."};
    app.set_version_flag("--version", BAOBABRACK_VERSION);
    app.require_subcommand(1);

    fuzz_command fuzz;
    auto* fuzz_app = app.add_subcommand("fuzz", "random faults, invariants after every step");
    fuzz_app->add_option("--area", fuzz.area, "part of the system")->required();
    fuzz_app->add_option("--seed", fuzz.options.seed, "first seed");
    fuzz_app->add_option("--seeds", fuzz.seeds, "number of seeds");
    fuzz_app->add_option("--steps", fuzz.options.steps, "steps a seed");
    fuzz_app->add_option("--mutation", fuzz.options.mutation, "deliberate fault to run with");
    fuzz_app->add_flag("--prove-checks", fuzz.prove_checks,
                       "run every mutation and expect each to be caught");

    script_command script;
    auto* run_app = app.add_subcommand("run", "scripts in the test language");
    run_app->add_option("FILE", script.files, "scripts")->required()->check(CLI::ExistingFile);
    run_app->add_option("--seed", script.seed, "seed of all randomness");

    CLI11_PARSE(app, argc, argv);
    return run_app->parsed() ? run_scripts(script) : run_fuzz(fuzz);
}

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "baobabrack/transport/event_runtime.hpp"
#include "standin/stand_in.hpp"

namespace {

constexpr auto examples = R"(Examples:
  baobabrack-standin --listen 127.0.0.1:7200 --services examples/flechtal/services.json
  baobabrack-standin --listen 127.0.0.1:7101 --services services.json --only target:hall-1

Exit codes: 0 stopped by a signal, after its targets left; 1 it could not start; 2 usage.)";

struct arguments {
    std::string listen = "127.0.0.1:7200";
    std::string services;
    std::vector<std::string> only;
    bool print_runs = false;
};

std::string read_file(const std::string& path) {
    const std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int serve(const arguments& args) {
    const auto listen = baobabrack::parse_endpoint(args.listen);
    if (!listen) {
        std::cerr << listen.error() << "\n";
        return 2;
    }
    baobabrack::event_runtime loop{std::random_device{}()};
    baobabrack::standin::stand_in platform{loop,
                                           {.listen = listen.value(),
                                            .services = read_file(args.services),
                                            .only = args.only,
                                            .run_output = args.print_runs ? &std::cout : nullptr}};
    const auto leave = [&] { platform.leave([&] { loop.stop(); }); };
    loop.on_signal(SIGTERM, leave);
    loop.on_signal(SIGINT, leave);
    std::cout << "listening on " << listen.value().host << ":" << platform.port() << std::endl;
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stands in for the platform in tests and trials: a log, workers and targets."};
    app.set_version_flag("--version", BAOBABRACK_VERSION);
    app.footer(examples);
    arguments args;
    app.add_option("--listen", args.listen, "HOST:PORT of the log, workers and control")
        ->capture_default_str();
    app.add_option("--services", args.services, "JSON file of workers and targets")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--only", args.only,
                   "Serve only: log, workers, targets, worker:ID or target:ID (repeatable)");
    app.add_flag("--print-runs", args.print_runs, "Print a line before a target runs a request");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        return serve(args);
    } catch (const std::exception& error) {
        std::cerr << "baobabrack-standin: " << error.what() << "\n";
        return 1;
    }
}

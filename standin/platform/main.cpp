#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "baobabrack/transport/event_runtime.hpp"
#include "standin/platform/store_endpoint.hpp"
#include "standin/platform/worker_endpoint.hpp"

namespace {

using namespace baobabrack;

constexpr auto examples = R"(Example:
  baobabrack-platform-standin --store 127.0.0.1:7800 --config standin/platform/config.json \
    --worker 127.0.0.11:7801,127.0.0.11:7802 --worker 127.0.0.12:7801,127.0.0.12:7802

Exit codes: 0 stopped by a signal; 1 it could not start; 2 usage.)";

struct arguments {
    std::string store = "127.0.0.1:7800";
    std::string config;
    std::string service = "service";
    std::vector<std::string> workers;
    std::uint32_t run_ms = 900;
};

/// A worker and the HTTP server that exposes it.
struct served_worker {
    std::unique_ptr<standin::worker_endpoint> endpoint;
    std::unique_ptr<http_server> server;
};

std::string read_file(const std::string& path) {
    const std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

http_endpoint endpoint_or_throw(const std::string& text) {
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) {
        throw std::runtime_error(endpoint.error().message + " (" + endpoint.error().remedy + ")");
    }
    return endpoint.value();
}

served_worker serve_worker(const std::string& text, std::size_t index, const arguments& args,
                           event_runtime& loop, http_client& client) {
    const auto comma = text.find(',');
    const auto listen = endpoint_or_throw(text.substr(0, comma));
    const auto name = std::to_string(index);
    served_worker worker;
    worker.endpoint = std::make_unique<standin::worker_endpoint>(
        standin::worker_endpoint::options{.host = workload::host_id{"worker-" + name},
                                          .rack = rack_id{"rack-" + std::to_string(index / 2)},
                                          .guard = endpoint_or_throw(text.substr(comma + 1)),
                                          .service = args.service,
                                          .run_time = std::chrono::milliseconds{args.run_ms},
                                          .run_output = &std::cout},
        loop, client);
    worker.server = std::make_unique<http_server>(
        loop, http_server::options{.host = listen.host, .port = listen.port}, *worker.endpoint);
    return worker;
}

int serve(const arguments& args) {
    event_runtime loop{std::random_device{}()};
    http_client client(loop, {});
    standin::store_endpoint store(loop);
    store.publish(read_file(args.config));
    const auto listen = endpoint_or_throw(args.store);
    const http_server server(loop, {.host = listen.host, .port = listen.port}, store);
    std::vector<served_worker> workers;
    for (const auto& text : args.workers) {
        workers.push_back(serve_worker(text, workers.size(), args, loop, client));
    }
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.on_signal(SIGINT, [&] { loop.stop(); });
    std::cout << "listening on " << args.store << std::endl;
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stands in for the users' platform: its store, an operator and workers."};
    app.set_version_flag("--version", BAOBABRACK_VERSION);
    app.footer(examples);
    arguments args;
    app.add_option("--store", args.store, "HOST:PORT of the store")->capture_default_str();
    app.add_option("--config", args.config, "JSON file of the operator's configuration")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--service", args.service, "Service of the workers")->capture_default_str();
    app.add_option("--worker", args.workers,
                   "HOST:PORT of a worker, a comma, HOST:PORT of its guard's announcements");
    app.add_option("--run-ms", args.run_ms, "How long each run takes")->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        return serve(args);
    } catch (const std::exception& error) {
        std::cerr << "baobabrack-platform-standin: " << error.what() << "\n";
        return 1;
    }
}

#include "baobabrack/daemon/guard_program.hpp"

#include <csignal>

#include "baobabrack/daemon/process_identity.hpp"
#include "baobabrack/guard/guard_node.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "baobabrack/transport/http_target_service.hpp"
#include "baobabrack/transport/zmq_network.hpp"

namespace baobabrack {

namespace {

guard_node::options node_options(const wire::Settings& settings, incarnation version) {
    const auto& guard = settings.guard();
    guard_node::options opts{.id = settings.id(),
                             .version = version,
                             .target = target_id{guard.target()},
                             .zmq_endpoint = guard.zmq_endpoint(),
                             .slots = guard.slots()};
    for (const auto& entry : guard.entries()) {
        opts.entries.push_back(entry.id());
    }
    return opts;
}

http_endpoint to_endpoint(const wire::Endpoint& endpoint) {
    return {.host = endpoint.host(), .port = static_cast<std::uint16_t>(endpoint.port())};
}

}  // namespace

int run_guard(const wire::Settings& settings) {
    const auto& guard = settings.guard();
    const auto version = new_incarnation();
    event_runtime loop(new_seed());
    metrics_registry metrics;
    http_client client(loop, {.max_connections_per_host = guard.connections()});
    const auto target = to_endpoint(guard.target_endpoint());
    http_target_service service(
        client, {.request_id_prefix = settings.id() + "-" + std::to_string(version.get())},
        [target](const target_id&) { return target; });
    zmq_network network(loop, {.id = settings.id(), .endpoint = guard.zmq_endpoint()});
    for (const auto& entry : guard.entries()) {
        network.connect(entry.id(), entry.zmq_endpoint());
    }
    guard_node node(node_options(settings, version), loop, network, service, metrics);

    int exit_code = 0;
    bool stopping = false;
    const auto stop = [&] {
        if (std::exchange(stopping, true)) {
            return;
        }
        log_event(log_level::info, "drain-began").field("running", node.running());
        node.drain([&] { loop.stop(); });
        loop.schedule(std::chrono::milliseconds{guard.drain_timeout_ms()}, [&] {
            exit_code = 1;
            loop.stop();
        });
    };
    loop.on_signal(SIGTERM, stop);
    loop.on_signal(SIGINT, stop);
    node.start();
    log_event(log_level::info, "started")
        .field("target", guard.target())
        .field("zmq", network.endpoint())
        .field("incarnation", version.get());
    loop.run();
    log_event(log_level::info, "stopped").field("exit", exit_code);
    return exit_code;
}

}  // namespace baobabrack

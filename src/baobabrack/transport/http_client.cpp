#include "baobabrack/transport/http_client.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client_connection.hpp"

namespace baobabrack {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds{100};
const http_outcome not_sent{.completion = http_completion::not_sent, .response = {}};

}  // namespace

http_client::http_client(event_runtime& loop, options opts)
    : loop_(loop), options_(opts), destroy_timer_(loop), sweep_timer_(loop), unsent_timer_(loop) {
    sweep_timer_.arm(sweep_interval, [this] { sweep(); });
}

http_client::~http_client() = default;

http_call_id http_client::send(http_call call, callback done) {
    const http_call_id id{next_call_++};
    const bool reachable = options_.resolve_names || is_ip_address(call.to.host);
    if (!reachable || call.deadline <= duration::zero()) {
        complete_unsent(id, std::move(done));
        return id;
    }
    const auto to = call.to;
    auto& queue = pools_[to].waiting;
    if (queue.size() >= options_.max_waiting_per_host) {
        complete_unsent(id, std::move(done));
        return id;
    }
    const auto deadline = loop_.now() + call.deadline;
    queue.push_back(
        {.id = id, .call = std::move(call), .deadline = deadline, .done = std::move(done)});
    start_waiting_calls(to);
    return id;
}

void http_client::abandon(http_call_id call) {
    if (unsent_calls_.erase(call) > 0) {
        return;
    }
    const auto found = busy_connections_.find(call);
    if (found != busy_connections_.end()) {
        const auto to = found->second.to;
        busy_connections_.erase(found);
        --pools_[to].busy;
        start_waiting_calls(to);
        return;
    }
    for (auto& [to, pool] : pools_) {
        std::erase_if(pool.waiting,
                      [&](const waiting_call& waiting) { return waiting.id == call; });
    }
}

std::size_t http_client::connections(const http_endpoint& to) const {
    const auto found = pools_.find(to);
    return found == pools_.end() ? 0 : found->second.busy + found->second.idle.size();
}

// Completes a call as not sent, from the event loop.
void http_client::complete_unsent(http_call_id id, callback done) {
    unsent_calls_.emplace(id, std::move(done));
    if (unsent_timer_.armed()) {
        return;
    }
    unsent_timer_.arm(duration::zero(), [this] {
        while (!unsent_calls_.empty()) {
            const auto entry = unsent_calls_.extract(unsent_calls_.begin());
            entry.mapped()(not_sent);
        }
    });
}

void http_client::start_waiting_calls(const http_endpoint& to) {
    auto& from = pools_[to];
    while (!from.waiting.empty() && from.busy < options_.max_connections_per_host) {
        auto next = std::move(from.waiting.front());
        from.waiting.pop_front();
        if (next.deadline <= loop_.now()) {
            complete_unsent(next.id, std::move(next.done));
            continue;
        }
        start_call(from, std::move(next));
    }
}

void http_client::start_call(connection_pool& from, waiting_call next) {
    auto connection = acquire_idle_connection(from, next.call.idempotent);
    if (!connection) {
        connection = open_connection(next.call.to);
    }
    auto* raw = connection.get();
    ++from.busy;
    busy_connections_.emplace(next.id, busy_connection{.to = next.call.to,
                                                       .connection = std::move(connection),
                                                       .done = std::move(next.done)});
    raw->start(next.call, next.deadline - loop_.now(),
               [this, id = next.id](http_outcome outcome) { complete(id, std::move(outcome)); });
}

std::unique_ptr<http_client_connection> http_client::acquire_idle_connection(connection_pool& from,
                                                                             bool idempotent) {
    const auto limit = idempotent ? options_.idle_limit : options_.non_idempotent_idle_limit;
    const auto oldest = loop_.now() - limit;
    // The most recently used connection is at the back.
    while (!from.idle.empty() && !from.idle.back()->reusable()) {
        destroy_later(std::move(from.idle.back()));
        from.idle.pop_back();
    }
    if (!from.idle.empty() && from.idle.back()->last_response_time() > oldest) {
        auto connection = std::move(from.idle.back());
        from.idle.pop_back();
        return connection;
    }
    const auto open_count = from.busy + from.idle.size();
    if (!from.idle.empty() && open_count >= options_.max_connections_per_host) {
        destroy_later(std::move(from.idle.front()));
        from.idle.erase(from.idle.begin());
    }
    return nullptr;
}

std::unique_ptr<http_client_connection> http_client::open_connection(const http_endpoint& to) {
    const http_client_connection::options settings{
        .to = to,
        .max_body_bytes = options_.max_body_bytes,
        .max_header_bytes = options_.max_header_bytes,
        .connect_timeout = options_.connect_timeout,
        .acknowledge_timeout = options_.acknowledge_timeout,
    };
    return std::make_unique<http_client_connection>(loop_, settings);
}

void http_client::complete(http_call_id id, http_outcome outcome) {
    auto found = busy_connections_.extract(id);
    if (found.empty()) {
        return;
    }
    auto& ended = found.mapped();
    release_connection(ended.to, std::move(ended.connection));
    ended.done(std::move(outcome));
    start_waiting_calls(ended.to);
}

void http_client::release_connection(const http_endpoint& to,
                                     std::unique_ptr<http_client_connection> connection) {
    auto& into = pools_[to];
    --into.busy;
    if (connection->reusable()) {
        into.idle.push_back(std::move(connection));
    } else {
        destroy_later(std::move(connection));
    }
}

// Destroys a connection in a later loop iteration, as evhttp may still be using it.
void http_client::destroy_later(std::unique_ptr<http_client_connection> connection) {
    closing_connections_.push_back(std::move(connection));
    if (!destroy_timer_.armed()) {
        destroy_timer_.arm(duration::zero(), [this] { closing_connections_.clear(); });
    }
}

// Closes idle connections past their limit and completes waiting calls past their deadline.
void http_client::sweep() {
    const auto now = loop_.now();
    for (auto position = pools_.begin(); position != pools_.end();) {
        auto& pool = position->second;
        const auto keep = [&](const auto& connection) {
            return connection->reusable() &&
                   connection->last_response_time() + options_.idle_limit >= now;
        };
        const auto expired = std::stable_partition(pool.idle.begin(), pool.idle.end(), keep);
        std::for_each(expired, pool.idle.end(),
                      [&](auto& connection) { destroy_later(std::move(connection)); });
        pool.idle.erase(expired, pool.idle.end());
        for (auto& call : pool.waiting) {
            if (call.deadline <= now) {
                complete_unsent(call.id, std::move(call.done));
            }
        }
        std::erase_if(pool.waiting, [&](const auto& call) { return call.deadline <= now; });
        const bool unused = pool.idle.empty() && pool.waiting.empty() && pool.busy == 0;
        position = unused ? pools_.erase(position) : std::next(position);
    }
    sweep_timer_.arm(sweep_interval, [this] { sweep(); });
}

}  // namespace baobabrack

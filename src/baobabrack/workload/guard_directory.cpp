#include "baobabrack/workload/guard_directory.hpp"

#include <utility>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

namespace {

constexpr std::string_view guard_prefix = "guard/";
// A guard reports twice a second; one that is silent for this long was removed with its host.
constexpr duration guard_timeout = std::chrono::seconds{60};

}  // namespace

bool guard_directory::apply(std::string_view key, std::string_view value, log_offset offset) {
    if (!key.starts_with(guard_prefix)) {
        return false;
    }
    const std::string host{key.substr(guard_prefix.size())};
    const auto [known, added] = offsets_.try_emplace(host, offset);
    if (!added && known->second >= offset) {
        return true;
    }
    known->second = offset;
    wire::WorkloadGuard record;
    if (value.empty()) {
        endpoints_.erase(host);
        offsets_.erase(known);
    } else if (record.ParseFromArray(value.data(), static_cast<int>(value.size()))) {
        endpoints_[host] = record.zmq_endpoint();
    }
    return true;
}

const std::string* guard_directory::find_endpoint(std::string_view key) const {
    if (!key.starts_with(guard_prefix)) {
        return nullptr;
    }
    const auto found = endpoints_.find(std::string{key.substr(guard_prefix.size())});
    return found == endpoints_.end() ? nullptr : &found->second;
}

void guard_directory::begin_term(time_point now) {
    last_heard_.clear();
    changed_.clear();
    for (const auto& [host, endpoint] : endpoints_) {
        last_heard_[host] = now;
    }
}

void guard_directory::record_contact(const std::string& host, const std::string& endpoint,
                                     time_point now) {
    last_heard_[host] = now;
    auto& known = endpoints_[host];
    if (known != endpoint) {
        known = endpoint;
        changed_.insert(host);
    }
}

std::set<std::string> guard_directory::hosts() const {
    std::set<std::string> hosts;
    for (const auto& [host, endpoint] : endpoints_) {
        hosts.insert(host);
    }
    return hosts;
}

std::vector<keyed_record> guard_directory::drain_changes(time_point now) {
    for (auto contact = last_heard_.begin(); contact != last_heard_.end();) {
        if (now - contact->second < guard_timeout) {
            ++contact;
            continue;
        }
        endpoints_.erase(contact->first);
        changed_.insert(contact->first);
        contact = last_heard_.erase(contact);
    }
    std::vector<keyed_record> records;
    for (const auto& host : std::exchange(changed_, {})) {
        keyed_record record{.key = std::string{guard_prefix} + host, .value = ""};
        if (const auto found = endpoints_.find(host); found != endpoints_.end()) {
            wire::WorkloadGuard guard;
            guard.set_zmq_endpoint(found->second);
            record.value = guard.SerializeAsString();
        }
        records.push_back(std::move(record));
    }
    return records;
}

}  // namespace baobabrack::workload

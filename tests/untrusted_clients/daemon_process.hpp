#ifndef BAOBABRACK_TESTS_UNTRUSTED_CLIENTS_DAEMON_PROCESS_HPP
#define BAOBABRACK_TESTS_UNTRUSTED_CLIENTS_DAEMON_PROCESS_HPP

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

#include "baobabrack/transport/http_types.hpp"

namespace baobabrack::testing {

/// A child process that is killed by its id on destruction.
class child_process {
public:
    explicit child_process(std::vector<std::string> command);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    pid_t id() const { return id_; }
    bool is_running();

    /// @return the peak resident memory in bytes
    std::size_t peak_memory() const;

    /// @return the number of open file descriptors
    std::size_t descriptors() const;

private:
    pid_t id_ = -1;
    bool running_ = true;
};

/// The most that a process was seen to use.
struct process_peak {
    std::size_t memory = 0;
    std::size_t descriptors = 0;

    /// @param queued bytes that the kernel holds for the process at the moment
    void sample(const child_process& process, std::size_t queued);
};

/// A scheduler and the stand-in of its platform on a loopback address of their own.
class scheduler_process {
public:
    /// Returns when the scheduler is ready; throws std::runtime_error if it does not become ready.
    ///
    /// @param settings additional keys of the section `scheduler`, each followed by a comma
    /// @param clients  keys of the section `clients`, separated by commas
    explicit scheduler_process(const std::string& settings = "", const std::string& clients = "");
    ~scheduler_process();

    child_process& process() { return scheduler_; }
    http_endpoint callers() const { return {host_, 7310}; }
    http_endpoint peers() const { return {host_, 7315}; }

    /// @return the status of a request, or 0 if none was received within 10 s
    int status_of(const std::string& request, std::uint16_t port = 7310) const;

    /// @return bytes in the kernel's socket buffers of one server of the scheduler
    std::size_t socket_bytes(std::uint16_t port = 7310) const;

private:
    std::string write_settings(const std::string& settings, const std::string& clients) const;

    std::string host_;
    std::string file_;
    child_process platform_;
    child_process scheduler_;
};

/// A worker guard on a loopback address of its own. Neither its worker nor a scheduler runs.
class guard_process {
public:
    /// Returns when the guard accepts announcements; throws std::runtime_error if it does not.
    guard_process();
    ~guard_process();

    child_process& process() { return guard_; }
    http_endpoint announcements() const { return {host_, 7323}; }
    http_endpoint metrics() const { return {host_, 7324}; }
    http_endpoint peers() const { return {host_, 7325}; }

    /// @return the status of the message with which a worker leaves, or 0 if none was received
    ///         within 10 s
    int announcement_status() const;

    /// @return bytes in the kernel's socket buffers of one server of the guard
    std::size_t socket_bytes(std::uint16_t port) const;

private:
    std::string write_settings() const;

    std::string host_;
    std::string file_;
    child_process guard_;
};

}  // namespace baobabrack::testing

#endif

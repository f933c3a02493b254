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

/// A scheduler and the stand-in of its platform on a loopback address of their own.
class scheduler_process {
public:
    /// Returns when the scheduler is ready; throws std::runtime_error if it does not become ready.
    ///
    /// @param settings additional keys of the section `scheduler`, each followed by a comma
    explicit scheduler_process(const std::string& settings = "");
    ~scheduler_process();

    child_process& process() { return scheduler_; }
    http_endpoint callers() const { return {host_, 7310}; }

    /// @return the status of a request, or 0 if none was received within 10 s
    int status_of(const std::string& request, std::uint16_t port = 7310) const;

    /// @return bytes in the kernel's socket buffers of the callers' server
    std::size_t socket_bytes() const;

private:
    std::string write_settings(const std::string& settings) const;

    std::string host_;
    std::string file_;
    child_process platform_;
    child_process scheduler_;
};

}  // namespace baobabrack::testing

#endif

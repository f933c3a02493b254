#ifndef BAOBABRACK_SCRIPT_SCRIPT_COMMANDS_HPP
#define BAOBABRACK_SCRIPT_SCRIPT_COMMANDS_HPP

#include <functional>
#include <map>
#include <string>

#include "script/script_world.hpp"
#include "script/words.hpp"

namespace baobabrack::scenario {

/// The commands of the test language, see docs/scenarios.md. Each throws `script_error` when it
/// is not understood or what it expects does not come about.
class script_commands {
public:
    /// @param folder that file names in commands start from
    script_commands(std::uint64_t seed, std::string folder);

    using command = void (script_commands::*)(words&);

    /// @return every command by its name
    static const std::map<std::string, command>& table();

private:
    void entry(words& given);
    void workers(words& given);
    void worker(words& given);
    void target(words& given);
    void log(words& given);
    void network(words& given);
    void ticket(words& given);
    void job(words& given);
    void request(words& given);
    void wait(words& given);
    void expect(words& given);

    void expect_job(words& given);
    void expect_request(words& given);
    void expect_ticket(words& given);
    void expect_worker(words& given);
    void expect_workers(words& given);
    void submit_job(words& given);
    void until(const std::string& what, duration limit, const std::function<bool()>& holds,
               const std::function<std::string()>& seen);
    void run(duration span);
    std::string job_state(const std::string& job);
    std::string job_message(const std::string& job);
    std::string request_state(const std::string& name);

    script_world world_;
    std::string folder_;
    std::map<std::string, std::string> ticket_refusals_;
};

}  // namespace baobabrack::scenario

#endif

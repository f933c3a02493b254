#ifndef BAOBABRACK_SCRIPT_WORDS_HPP
#define BAOBABRACK_SCRIPT_WORDS_HPP

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "baobabrack/units/time.hpp"

namespace baobabrack::scenario {

/// A script asks for something that makes no sense; the text names what is expected.
class script_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The words of one command of a script, taken from the front.
class words {
public:
    explicit words(std::vector<std::string> all) : all_(std::move(all)) {}

    bool empty() const { return next_ == all_.size(); }

    /// @return the next word
    std::string take(const std::string& what);

    /// @return whether the next word is this one, which is then taken
    bool take_if(const std::string& word);

    duration take_duration();
    std::uint32_t take_number(const std::string& what);

    /// @return the value after the option, such as `-region north`; `otherwise` if it is absent
    std::string option(const std::string& name, const std::string& otherwise);
    std::uint32_t option(const std::string& name, std::uint32_t otherwise);
    duration option(const std::string& name, duration otherwise);

    /// @return whether the flag is there
    bool flag(const std::string& name);

    /// Refuses words that nothing has taken.
    void end() const;

private:
    std::vector<std::string> all_;
    std::size_t next_ = 0;
};

/// @param text such as `8s`, `500ms` or `10m`
duration parse_duration(const std::string& text);

}  // namespace baobabrack::scenario

#endif

#ifndef BAOBABRACK_UNITS_STRONG_TYPE_HPP
#define BAOBABRACK_UNITS_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace baobabrack {

/// A value whose meaning is part of its type, so that ids and units cannot be mixed up.
///
/// @tparam Tag   names the meaning; never defined
/// @tparam Value the representation
template <typename Tag, typename Value>
class strong_type {
public:
    using value_type = Value;

    strong_type() = default;
    explicit strong_type(Value value) : value_(std::move(value)) {}

    /// @return the bare value, for output and for the wire
    const Value& get() const { return value_; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;
    friend bool operator==(const strong_type&, const strong_type&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_type& strong_value) {
        return out << strong_value.value_;
    }

private:
    Value value_{};
};

}  // namespace baobabrack

template <typename Tag, typename Value>
struct std::hash<baobabrack::strong_type<Tag, Value>> {
    std::size_t operator()(const baobabrack::strong_type<Tag, Value>& strong_value) const {
        return std::hash<Value>{}(strong_value.get());
    }
};

#endif

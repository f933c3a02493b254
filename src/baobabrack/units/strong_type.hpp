#ifndef BAOBABRACK_UNITS_STRONG_TYPE_HPP
#define BAOBABRACK_UNITS_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace baobabrack {

/// Wraps a value in a distinct type, so that the compiler rejects a mix-up of ids or units.
///
/// @tparam Tag   makes the type distinct; may be an incomplete type
/// @tparam Value underlying type
template <typename Tag, typename Value>
class strong_type {
public:
    using value_type = Value;

    strong_type() = default;
    explicit strong_type(Value value) : value_(std::move(value)) {}

    /// @return the underlying value
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

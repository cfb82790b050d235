#ifndef MONSOONGRADE_UNITS_STRONGNUMBER_H
#define MONSOONGRADE_UNITS_STRONGNUMBER_H

#include <functional>
#include <ostream>

namespace monsoongrade::units {

// A number of one kind. Sums and comparisons stay within the kind.
template <typename Tag, typename Rep>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value)
        : value_(value)
    {
    }

    constexpr Rep value() const { return value_; }

    friend constexpr bool operator==(StrongNumber a, StrongNumber b)
    {
        return a.value_ == b.value_;
    }
    friend constexpr bool operator!=(StrongNumber a, StrongNumber b) { return !(a == b); }
    friend constexpr bool operator<(StrongNumber a, StrongNumber b) { return a.value_ < b.value_; }
    friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return b < a; }
    friend constexpr bool operator<=(StrongNumber a, StrongNumber b) { return !(b < a); }
    friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return !(a < b); }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.value_ + b.value_);
    }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.value_ - b.value_);
    }
    StrongNumber &operator+=(StrongNumber other)
    {
        value_ += other.value_;
        return *this;
    }
    friend std::ostream &operator<<(std::ostream &out, StrongNumber number)
    {
        return out << number.value_;
    }

private:
    Rep value_ = 0;
};

} // namespace monsoongrade::units

template <typename Tag, typename Rep>
struct std::hash<monsoongrade::units::StrongNumber<Tag, Rep>>
{
    std::size_t operator()(monsoongrade::units::StrongNumber<Tag, Rep> number) const
    {
        return std::hash<Rep>()(number.value());
    }
};

#endif // MONSOONGRADE_UNITS_STRONGNUMBER_H

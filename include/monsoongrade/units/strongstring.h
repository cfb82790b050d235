#ifndef MONSOONGRADE_UNITS_STRONGSTRING_H
#define MONSOONGRADE_UNITS_STRONGSTRING_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace monsoongrade::units {

// A string that stands for one kind of name. Two kinds never convert into each other, so a
// workspace name can't be passed where an endpoint id is expected.
template <typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &value() const { return value_; }
    bool isEmpty() const { return value_.empty(); }

    friend bool operator==(const StrongString &a, const StrongString &b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(const StrongString &a, const StrongString &b) { return !(a == b); }
    friend bool operator<(const StrongString &a, const StrongString &b)
    {
        return a.value_ < b.value_;
    }
    friend std::ostream &operator<<(std::ostream &out, const StrongString &text)
    {
        return out << text.value_;
    }

private:
    std::string value_;
};

} // namespace monsoongrade::units

template <typename Tag>
struct std::hash<monsoongrade::units::StrongString<Tag>>
{
    std::size_t operator()(const monsoongrade::units::StrongString<Tag> &text) const
    {
        return std::hash<std::string>()(text.value());
    }
};

#endif // MONSOONGRADE_UNITS_STRONGSTRING_H

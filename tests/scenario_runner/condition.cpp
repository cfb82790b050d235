#include "condition.h"

#include <cstdlib>

namespace monsoongrade::scenarios {

std::optional<Condition> Condition::parse(const std::string &text)
{
    Condition condition;
    condition.text_ = text;
    std::string number = text;
    if (text.compare(0, 2, ">=") == 0)
        condition.kind_ = Kind::AtLeast;
    else if (text.compare(0, 2, "<=") == 0)
        condition.kind_ = Kind::AtMost;
    if (condition.kind_ != Kind::Equal)
        number = text.substr(2);
    char *end = nullptr;
    condition.bound_ = std::strtod(number.c_str(), &end);
    if (end == number.c_str() || *end != '\0')
        return std::nullopt;
    return condition;
}

bool Condition::holds(double value) const
{
    switch (kind_) {
    case Kind::Equal:
        return value == bound_;
    case Kind::AtLeast:
        return value >= bound_;
    case Kind::AtMost:
        return value <= bound_;
    }
    return false;
}

} // namespace monsoongrade::scenarios

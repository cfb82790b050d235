#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_CONDITION_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_CONDITION_H

#include <optional>
#include <string>

namespace monsoongrade::scenarios {

// A bound on a number, written "3", ">= 3" or "<= 3".
class Condition
{
public:
    // Empty where the text is none of these.
    static std::optional<Condition> parse(const std::string &text);

    bool holds(double value) const;
    const std::string &text() const { return text_; }

private:
    enum class Kind { Equal, AtLeast, AtMost };

    std::string text_;
    Kind kind_ = Kind::Equal;
    double bound_ = 0;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_CONDITION_H

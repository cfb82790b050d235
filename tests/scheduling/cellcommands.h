#ifndef MONSOONGRADE_TESTS_SCHEDULING_CELLCOMMANDS_H
#define MONSOONGRADE_TESTS_SCHEDULING_CELLCOMMANDS_H

#include <scheduling/celloracle.h>

#include <memory>
#include <ostream>

namespace monsoongrade::scheduling {

enum class CellCommandKind {
    Ask,
    AskAgain,
    Cancel,
    Release,
    Tick,
    RouterLost,
    Adopt,
    Leaving,
    Suspected,
    Configure,
};

// One command with two numbers, which the runner maps to what exists at that moment; so every
// list of commands is valid and a failing one can be cut down and kept as it is.
struct CellCommand
{
    CellCommandKind kind = CellCommandKind::Tick;
    unsigned what = 0;
    unsigned how = 0;
};

inline std::ostream &operator<<(std::ostream &out, const CellCommand &command)
{
    return out << "{CellCommandKind(" << static_cast<int>(command.kind) << "), " << command.what
               << ", " << command.how << "}";
}

// Guesses the same length for all, so that what is booked for a grant can be told without asking.
class ConstantLengths : public LengthEstimator
{
public:
    double estimate(const units::ClassName & /*className*/,
                    const units::WorkspaceName & /*workspace*/) const override
    {
        return 100;
    }
};

// Drives a scheduler and its oracle with the same commands.
class CellCommandRunner
{
public:
    CellCommandRunner();
    void run(const CellCommand &command);
    // Lets every wait run out and gives back all slots; then nothing may be left.
    void finish();

    CellOracle &oracle() { return oracle_; }

private:
    void ask(unsigned what, unsigned how);
    void release(unsigned what, unsigned how);
    void adopt(unsigned what);
    void configure(unsigned what, unsigned how);

    units::ManualClock clock_;
    CellOracle oracle_{clock_};
    CellScheduler scheduler_{clock_, oracle_, std::make_unique<ConstantLengths>()};
    unsigned nextRequest_ = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_TESTS_SCHEDULING_CELLCOMMANDS_H

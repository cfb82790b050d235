#ifndef MONSOONGRADE_BENCH_WRONGESTIMATOR_H
#define MONSOONGRADE_BENCH_WRONGESTIMATOR_H

#include <monsoongrade/scheduling/lengthestimator.h>

#include <functional>
#include <memory>

namespace monsoongrade::bench {

// Learns like the real one and then tells a wrong length: too long by the factor for half of the
// classes and workspaces, too short for the others.
class WrongEstimator : public scheduling::LengthEstimator
{
public:
    explicit WrongEstimator(double factor)
        : factor_(factor)
    {
    }

    double estimate(const units::ClassName &className,
                    const units::WorkspaceName &workspace) const override
    {
        return wrong(LengthEstimator::estimate(className, workspace),
                     std::hash<units::ClassName>()(className)
                         + std::hash<units::WorkspaceName>()(workspace));
    }

private:
    double wrong(double right, std::size_t hash) const
    {
        return hash % 2 == 0 ? right * factor_ : right / factor_;
    }

    double factor_;
};

inline std::unique_ptr<scheduling::LengthEstimator> makeEstimator(double wrongFactor)
{
    if (wrongFactor == 1)
        return std::make_unique<scheduling::LengthEstimator>();
    return std::make_unique<WrongEstimator>(wrongFactor);
}

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_WRONGESTIMATOR_H

#include <monsoongrade/scheduling/lengthestimator.h>

namespace monsoongrade::scheduling {

namespace {

constexpr double FirstGuess = 100;
constexpr double Smoothing = 0.1;

void smooth(double &mean, double sample)
{
    mean += Smoothing * (sample - mean);
}

} // namespace

double LengthEstimator::estimate(const units::ClassName &className,
                                 const units::WorkspaceName &workspace) const
{
    const auto exact = byWorkspace_.find({className, workspace});
    if (exact != byWorkspace_.end())
        return exact->second;
    const auto rough = byClass_.find(className);
    return rough == byClass_.end() ? FirstGuess : rough->second;
}

void LengthEstimator::learn(const units::ClassName &className,
                            const units::WorkspaceName &workspace, double tokens)
{
    smooth(byClass_.emplace(className, tokens).first->second, tokens);
    smooth(byWorkspace_.emplace(std::pair(className, workspace), tokens).first->second, tokens);
}

} // namespace monsoongrade::scheduling

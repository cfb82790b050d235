#include <monsoongrade/scheduling/lengthestimator.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

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
        return std::max(1.0, exact->second.tokens);
    const auto rough = byClass_.find(className);
    return std::max(1.0, rough == byClass_.end() ? mean_ : rough->second);
}

void LengthEstimator::learn(const units::ClassName &className,
                            const units::WorkspaceName &workspace, double tokens)
{
    smooth(mean_, tokens);
    smooth(byClass_.emplace(className, tokens).first->second, tokens);
    const Key key(className, workspace);
    const auto found = byWorkspace_.find(key);
    if (found != byWorkspace_.end()) {
        smooth(found->second.tokens, tokens);
        newestFirst_.splice(newestFirst_.begin(), newestFirst_, found->second.use);
        return;
    }
    newestFirst_.push_front(key);
    byWorkspace_.emplace(key, Entry{tokens, newestFirst_.begin()});
    if (byWorkspace_.size() > MaxWorkspaces) {
        byWorkspace_.erase(newestFirst_.back());
        newestFirst_.pop_back();
    }
}

} // namespace monsoongrade::scheduling

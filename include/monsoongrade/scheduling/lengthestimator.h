#ifndef MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H
#define MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H

#include <monsoongrade/units/ids.h>

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace monsoongrade::scheduling {

// Guesses how many tokens an answer will have, from what was seen of its class and workspace.
// Never below one token, so that no request is free of charge. Bounded: of the workspaces the
// one not seen for longest is forgotten, and its class's mean stands in for it.
class LengthEstimator
{
public:
    static constexpr std::size_t MaxWorkspaces = 8192;

    virtual ~LengthEstimator() = default;

    virtual double estimate(const units::ClassName &className,
                            const units::WorkspaceName &workspace) const;
    // False if the estimate is a mere guess from other classes.
    bool hasSeen(const units::ClassName &className) const { return byClass_.count(className) > 0; }
    // The mean over everything seen.
    double mean() const { return mean_; }
    void learn(const units::ClassName &className, const units::WorkspaceName &workspace,
               double tokens);
    std::size_t workspaces() const { return byWorkspace_.size(); }

private:
    using Key = std::pair<units::ClassName, units::WorkspaceName>;
    struct Entry
    {
        double tokens = 0;
        std::list<Key>::iterator use;
    };

    double mean_ = 100;
    std::map<units::ClassName, double> byClass_;
    std::map<Key, Entry> byWorkspace_;
    std::list<Key> newestFirst_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_LENGTHESTIMATOR_H

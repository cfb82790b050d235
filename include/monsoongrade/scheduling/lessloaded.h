#ifndef MONSOONGRADE_SCHEDULING_LESSLOADED_H
#define MONSOONGRADE_SCHEDULING_LESSLOADED_H

#include <random>
#include <vector>

namespace monsoongrade::scheduling {

// The less loaded of two candidates picked at random, the same one twice included: nearly as even
// as the least loaded of all, and no two routers with the same old reports all pick the same one.
// The first picked where both have as much. There must be a candidate.
template <typename Candidate, typename LoadOf, typename Random>
const Candidate &lessLoadedOfTwo(const std::vector<Candidate> &candidates, const LoadOf &loadOf,
                                 Random &random)
{
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const Candidate &one = candidates[any(random)];
    const Candidate &two = candidates[any(random)];
    return loadOf(two) < loadOf(one) ? two : one;
}

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_LESSLOADED_H

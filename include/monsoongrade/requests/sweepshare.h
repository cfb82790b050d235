#ifndef MONSOONGRADE_REQUESTS_SWEEPSHARE_H
#define MONSOONGRADE_REQUESTS_SWEEPSHARE_H

#include <cstddef>

namespace monsoongrade::requests {

// Which part of the claims a daemon sweeps: every one whose number leaves this rest. Two daemons
// that know different fleets may sweep the same part or none of it for a while; both do no harm.
struct SweepShare
{
    std::size_t rank = 0;
    // None: this daemon does not sweep.
    std::size_t sweepers = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_SWEEPSHARE_H

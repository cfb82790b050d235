#ifndef MONSOONGRADE_DUTIES_WORKERORDER_H
#define MONSOONGRADE_DUTIES_WORKERORDER_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::duties {

// The desired number of endpoints of one kind of a pool in one failure domain.
struct WorkerOrder
{
    units::PoolName pool;
    units::FailureDomain domain;
    bool preemptible = false;
    int desired = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_WORKERORDER_H

#ifndef MONSOONGRADE_SCHEDULING_DECISIONSINK_H
#define MONSOONGRADE_SCHEDULING_DECISIONSINK_H

#include <monsoongrade/scheduling/slotgrant.h>
#include <monsoongrade/scheduling/slotrefusal.h>

namespace monsoongrade::scheduling {

// Receives the decisions of a cell. Called from within the cell's own functions; must not call
// back into the cell.
class DecisionSink
{
public:
    virtual ~DecisionSink() = default;
    virtual void granted(const SlotGrant &grant) = 0;
    virtual void refused(const SlotRefusal &refusal) = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_DECISIONSINK_H

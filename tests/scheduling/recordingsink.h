#ifndef MONSOONGRADE_TESTS_SCHEDULING_RECORDINGSINK_H
#define MONSOONGRADE_TESTS_SCHEDULING_RECORDINGSINK_H

#include <monsoongrade/scheduling/decisionsink.h>

#include <vector>

namespace monsoongrade::scheduling {

// Keeps every decision in order.
class RecordingSink : public DecisionSink
{
public:
    void granted(const SlotGrant &grant) override { grants.push_back(grant); }
    void refused(const SlotRefusal &refusal) override { refusals.push_back(refusal); }

    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_TESTS_SCHEDULING_RECORDINGSINK_H

#include <monsoongrade/duties/dutyplatform.h>

namespace monsoongrade::duties {

const char *callOutcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Accepted:
        return "accepted";
    case CallOutcome::Unavailable:
        return "unavailable";
    case CallOutcome::Rejected:
        return "rejected";
    case CallOutcome::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

} // namespace monsoongrade::duties

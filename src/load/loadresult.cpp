#include <monsoongrade/load/loadresult.h>

namespace monsoongrade::load {

const char *loadOutcomeName(LoadOutcome outcome)
{
    switch (outcome) {
    case LoadOutcome::Answered:
        return "answered";
    case LoadOutcome::Refused:
        return "refused";
    case LoadOutcome::Failed:
        return "failed";
    case LoadOutcome::Mixed:
        return "mixed";
    case LoadOutcome::CutShort:
        return "cut-short";
    case LoadOutcome::Unequal:
        return "unequal";
    case LoadOutcome::Left:
        return "left";
    case LoadOutcome::Lost:
        return "lost";
    }
    return "unnamed";
}

} // namespace monsoongrade::load

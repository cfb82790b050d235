#ifndef MONSOONGRADE_CTL_LINEDIFF_H
#define MONSOONGRADE_CTL_LINEDIFF_H

#include <string>
#include <vector>

namespace monsoongrade::ctl {

// The lines that differ, in order: "-" before those only in the old text, "+" before those only
// in the new one. Empty where the texts are the same.
std::vector<std::string> lineDiff(const std::string &before, const std::string &after);

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_LINEDIFF_H

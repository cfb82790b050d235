#ifndef MONSOONGRADE_CTL_EXPOSITION_H
#define MONSOONGRADE_CTL_EXPOSITION_H

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::ctl {

// One line of the text exposition format.
struct Sample
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

// Reads the format as our daemons write it; lines of any other form are passed over.
std::vector<Sample> readExposition(const std::string &text);

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_EXPOSITION_H

#ifndef MONSOONGRADE_CONFIGURATION_PROBLEM_H
#define MONSOONGRADE_CONFIGURATION_PROBLEM_H

#include <monsoongrade/units/resultcode.h>

#include <string>
#include <vector>

namespace monsoongrade::configuration {

// One mistake in a file, with its place. Lines count from 1; 0 means the whole file.
struct Problem
{
    units::ResultCode code = units::ResultCode::WrongType;
    std::string file;
    int line = 0;
    std::string key;
    std::string message;
};

using Problems = std::vector<Problem>;

// "file:line: key: 4001 unknown-setting: message"
std::string describe(const Problem &problem);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_PROBLEM_H

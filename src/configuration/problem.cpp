#include <monsoongrade/configuration/problem.h>

namespace monsoongrade::configuration {

std::string describe(const Problem &problem)
{
    std::string out = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty())
        out += problem.key + ": ";
    return out + std::to_string(static_cast<int>(problem.code)) + " "
        + std::string(units::resultCodeName(problem.code)) + ": " + problem.message;
}

} // namespace monsoongrade::configuration

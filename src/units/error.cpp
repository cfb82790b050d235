#include <monsoongrade/units/error.h>

namespace monsoongrade::units {

std::string describe(const Error &error)
{
    return std::to_string(static_cast<int>(error.code)) + " "
        + std::string(resultCodeName(error.code)) + ": " + error.message;
}

} // namespace monsoongrade::units

#ifndef MONSOONGRADE_UNITS_ERROR_H
#define MONSOONGRADE_UNITS_ERROR_H

#include <monsoongrade/units/resultcode.h>

#include <string>

namespace monsoongrade::units {

// What went wrong, for people: the numbered code and one sentence that says what to do.
// Carried as the error object of boost::leaf results.
struct Error
{
    ResultCode code = ResultCode::InternalFault;
    std::string message;
};

// "4001 unknown-setting: <message>", the form used on standard error and in answers.
std::string describe(const Error &error);

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_ERROR_H

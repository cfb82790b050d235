#ifndef MONSOONGRADE_STANDINS_ANSWERTEXT_H
#define MONSOONGRADE_STANDINS_ANSWERTEXT_H

#include <cstdint>
#include <string>

namespace monsoongrade::standins {

// The index-th token that the engine stand-in answers to a prompt. It depends on the prompt, so
// that whoever sent the prompt can tell its own answer from any other.
std::string answerToken(const std::string &prompt, std::int64_t index);

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_ANSWERTEXT_H

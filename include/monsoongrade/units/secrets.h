#ifndef MONSOONGRADE_UNITS_SECRETS_H
#define MONSOONGRADE_UNITS_SECRETS_H

#include <string>

namespace monsoongrade::units {

// Compares a secret with a guess. Looks at every byte, whatever differs: an early exit would tell
// a guesser how much is right.
bool equalInConstantTime(const std::string &secret, const std::string &guess);

// What follows "Bearer " in an Authorization header; empty for any other.
std::string bearerToken(const std::string &authorization);

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_SECRETS_H

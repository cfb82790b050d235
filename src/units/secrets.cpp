#include <monsoongrade/units/secrets.h>

namespace monsoongrade::units {

bool equalInConstantTime(const std::string &secret, const std::string &guess)
{
    unsigned difference = secret.size() == guess.size() ? 0 : 1;
    for (std::size_t i = 0; i < secret.size() && i < guess.size(); ++i)
        difference |= static_cast<unsigned char>(secret[i]) ^ static_cast<unsigned char>(guess[i]);
    return difference == 0;
}

std::string bearerToken(const std::string &authorization)
{
    const std::string prefix = "Bearer ";
    if (authorization.compare(0, prefix.size(), prefix) != 0)
        return {};
    return authorization.substr(prefix.size());
}

} // namespace monsoongrade::units

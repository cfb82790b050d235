#include <monsoongrade/requests/claim.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::requests {

using nlohmann::json;

namespace {

// Letters and digits stay; all else is written as %xx, so that no two pairs share a name.
std::string escaped(const std::string &text)
{
    static const char *const Digits = "0123456789abcdef";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += Digits[c >> 4];
            out += Digits[c & 15];
        }
    }
    return out;
}

} // namespace

std::string toText(const Claim &claim)
{
    return json{{"attempt", claim.attempt.value()},
                {"holder", claim.holder.value()},
                {"fingerprint", claim.fingerprint}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

units::Result<Claim> parseClaim(const std::string &text)
{
    try {
        const json value = json::parse(text);
        return Claim{units::RequestId(value.at("attempt").get<std::string>()),
                     units::DaemonId(value.at("holder").get<std::string>()),
                     value.at("fingerprint").get<std::string>()};
    } catch (const json::exception &error) {
        return units::fail(units::ResultCode::PlatformAnswerMalformed, error.what());
    }
}

std::string claimName(const units::WorkspaceName &workspace, const units::IdempotencyKey &key)
{
    return "claims/" + escaped(workspace.value()) + "/" + escaped(key.value());
}

} // namespace monsoongrade::requests

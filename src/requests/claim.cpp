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

// FNV-1a: the same on every host and in every version, which std::hash isn't. Two routers that
// hashed differently would each claim the key under a name of its own, and both run it.
std::uint32_t hashOf(const std::string &text)
{
    std::uint32_t hash = 2166136261U;
    for (const unsigned char c : text)
        hash = (hash ^ c) * 16777619U;
    return hash ^ (hash >> 15);
}

} // namespace

std::string toText(const Claim &claim)
{
    return json{{"attempt", claim.attempt.value()},
                {"holder", claim.holder.value()},
                {"fingerprint", claim.fingerprint},
                {"epoch", claim.epoch}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

units::Result<Claim> parseClaim(const std::string &text)
{
    try {
        const json value = json::parse(text);
        return Claim{units::RequestId(value.at("attempt").get<std::string>()),
                     units::DaemonId(value.at("holder").get<std::string>()),
                     value.at("fingerprint").get<std::string>(),
                     value.value("epoch", std::uint64_t(0))};
    } catch (const json::exception &error) {
        return units::fail(units::ResultCode::PlatformAnswerMalformed, error.what());
    }
}

std::string claimName(const units::WorkspaceName &workspace, const units::IdempotencyKey &key)
{
    const std::string tail = escaped(workspace.value()) + "/" + escaped(key.value());
    const std::size_t part = hashOf(tail) % (1U << (4 * ClaimHashDigits));
    return claimPrefix(part, ClaimHashDigits) + "/" + tail;
}

std::string claimPrefix(std::size_t part, int digits)
{
    static const char *const Digits = "0123456789abcdef";
    std::string prefix = "claims/";
    for (int digit = digits - 1; digit >= 0; --digit)
        prefix += Digits[(part >> (4 * digit)) & 15];
    return prefix;
}

} // namespace monsoongrade::requests

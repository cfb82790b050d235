#include <monsoongrade/requests/issuedkey.h>

#include <charconv>
#include <string>

namespace monsoongrade::requests {

namespace {

const std::string Prefix = "monsoongrade-key:";

// Takes the digits behind the last colon off the text.
std::optional<std::uint64_t> takeNumber(std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, number);
    if (read.ec != std::errc() || read.ptr != end || number > INT64_MAX)
        return std::nullopt;
    text.resize(colon);
    return number;
}

} // namespace

units::IdempotencyKey toKey(const IssuedKey &key)
{
    return units::IdempotencyKey(Prefix + key.router.value() + ":"
                                 + std::to_string(key.issuedAt.count()) + ":"
                                 + std::to_string(key.number));
}

std::optional<IssuedKey> parseIssuedKey(const units::IdempotencyKey &key)
{
    if (key.value().compare(0, Prefix.size(), Prefix) != 0)
        return std::nullopt;
    std::string rest = key.value().substr(Prefix.size());
    const auto number = takeNumber(rest);
    const auto issuedAt = takeNumber(rest);
    if (!number || !issuedAt || rest.empty())
        return std::nullopt;
    return IssuedKey{units::DaemonId(rest), units::Duration(*issuedAt), *number};
}

} // namespace monsoongrade::requests

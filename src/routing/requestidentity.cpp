#include <monsoongrade/routing/requestidentity.h>

#include <monsoongrade/units/stablehash.h>

#include <cinttypes>
#include <cstdio>

namespace monsoongrade::routing {

RequestDigest digestOf(std::string_view method, std::string_view host, std::string_view target,
                       std::string_view body)
{
    units::StableHash hash;
    for (const std::string_view part : {method, host, target, body}) {
        hash.add(part);
        // Distinguishes "ab", "c" from "a", "bc".
        hash.add(std::uint64_t(part.size()));
    }
    return RequestDigest(hash.spread());
}

RequestIdentity identityOfPart(const units::ModelName &model, std::string_view partId)
{
    return {{}, digestOf("prompt-part", model.value(), partId, {})};
}

std::string digestText(RequestDigest digest)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016" PRIx64, digest.value());
    return text;
}

} // namespace monsoongrade::routing

#include <requests/internal/fingerprint.h>

#include <monsoongrade/units/stablehash.h>

#include <cstdint>
#include <cstdio>

namespace monsoongrade::requests::internal {

std::string fingerprintOf(const ClassifiedRequest &request)
{
    units::StableHash hash;
    for (const std::string *part : {&request.method, &request.pathAndQuery, &request.body}) {
        hash.add(*part);
        // Keeps "a" + "bc" apart from "ab" + "c".
        hash.add(std::uint64_t(part->size()));
    }
    char text[40];
    std::snprintf(text, sizeof(text), "%016llx-%zu", static_cast<unsigned long long>(hash.value()),
                  request.body.size());
    return text;
}

} // namespace monsoongrade::requests::internal

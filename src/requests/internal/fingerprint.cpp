#include <requests/internal/fingerprint.h>

#include <cstdint>
#include <cstdio>

namespace monsoongrade::requests::internal {

namespace {

// FNV-1a. std::hash may differ between two builds, whose routers then would take a repeat for
// another request.
std::uint64_t hashed(std::uint64_t hash, const std::string &text)
{
    constexpr std::uint64_t Prime = 1099511628211ULL;
    for (const unsigned char c : text)
        hash = (hash ^ c) * Prime;
    // The length keeps "a" + "bc" apart from "ab" + "c".
    return (hash ^ text.size()) * Prime;
}

} // namespace

std::string fingerprintOf(const ClassifiedRequest &request)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const std::string *part : {&request.method, &request.pathAndQuery, &request.body})
        hash = hashed(hash, *part);
    char text[40];
    std::snprintf(text, sizeof(text), "%016llx-%zu", static_cast<unsigned long long>(hash),
                  request.body.size());
    return text;
}

} // namespace monsoongrade::requests::internal

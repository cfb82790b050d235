#include <monsoongrade/standins/answertext.h>

#include <cstdio>

namespace monsoongrade::standins {

std::string answerToken(const std::string &prompt, std::int64_t index)
{
    std::uint32_t hash = 2166136261U;
    for (const unsigned char c : prompt)
        hash = (hash ^ c) * 16777619U;
    hash = (hash ^ static_cast<std::uint32_t>(index)) * 16777619U;
    char out[24];
    std::snprintf(out, sizeof(out), "%lld.%08x ", static_cast<long long>(index), hash);
    return out;
}

} // namespace monsoongrade::standins

#include <monsoongrade/configuration/manifest.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>

namespace monsoongrade::configuration {

using nlohmann::json;

std::string encodeManifest(const Manifest &manifest)
{
    json out;
    out["generation"] = manifest.generation.value();
    out["change"] = manifest.changeId;
    out["files"] = manifest.contentHashByFile;
    return out.dump();
}

units::Result<Manifest> decodeManifest(const std::string &text)
{
    try {
        const json in = json::parse(text);
        Manifest manifest;
        manifest.generation = units::Generation(in.at("generation").get<std::uint64_t>());
        manifest.changeId = in.at("change").get<std::string>();
        manifest.contentHashByFile = in.at("files").get<std::map<std::string, std::string>>();
        return manifest;
    } catch (const json::exception &error) {
        return units::fail(units::ResultCode::PlatformAnswerMalformed,
                           std::string("the configuration manifest is not readable: ")
                               + error.what());
    }
}

std::string contentHash(const std::string &text)
{
    // FNV-1a twice with different bases; 128 bits in all, against accidents, not attackers.
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t low = 14695981039346656037ULL;
    std::uint64_t high = 0x9E3779B97F4A7C15ULL;
    for (const unsigned char c : text) {
        low = (low ^ c) * Prime;
        high = (high ^ (c + 0x5bU)) * Prime;
    }
    char out[33];
    std::snprintf(out, sizeof(out), "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return out;
}

} // namespace monsoongrade::configuration

#include <monsoongrade/configuration/manifest.h>

#include <monsoongrade/units/stablehash.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>

namespace monsoongrade::configuration {

using nlohmann::json;

std::optional<units::Generation> Manifest::acceptedAs(const std::string &changeId) const
{
    for (const AcceptedChange &change : recentChanges) {
        if (change.id == changeId)
            return change.generation;
    }
    return std::nullopt;
}

void Manifest::accept(const std::string &changeId)
{
    generation += units::Generation(1);
    recentChanges.push_back({changeId, generation});
    if (recentChanges.size() > MaxRecentChanges)
        recentChanges.pop_front();
}

std::string encodeManifest(const Manifest &manifest)
{
    json out;
    out["generation"] = manifest.generation.value();
    out["files"] = manifest.contentHashByFile;
    out["changes"] = json::array();
    for (const AcceptedChange &change : manifest.recentChanges)
        out["changes"].push_back({{"id", change.id}, {"generation", change.generation.value()}});
    return out.dump();
}

units::Result<Manifest> decodeManifest(const std::string &text)
{
    try {
        const json in = json::parse(text);
        Manifest manifest;
        manifest.generation = units::Generation(in.at("generation").get<std::uint64_t>());
        manifest.contentHashByFile = in.at("files").get<std::map<std::string, std::string>>();
        for (const json &change : in.at("changes"))
            manifest.recentChanges.push_back(
                {change.at("id").get<std::string>(),
                 units::Generation(change.at("generation").get<std::uint64_t>())});
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
    constexpr std::uint64_t OtherBase = 0x9E3779B97F4A7C15ULL;
    constexpr std::uint64_t OtherShift = 0x5b;
    units::StableHash low;
    units::StableHash high(OtherBase);
    low.add(text);
    for (const unsigned char c : text)
        high.add(c + OtherShift);
    char out[33];
    std::snprintf(out, sizeof(out), "%016llx%016llx", static_cast<unsigned long long>(high.value()),
                  static_cast<unsigned long long>(low.value()));
    return out;
}

} // namespace monsoongrade::configuration

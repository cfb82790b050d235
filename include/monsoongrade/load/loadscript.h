#ifndef MONSOONGRADE_LOAD_LOADSCRIPT_H
#define MONSOONGRADE_LOAD_LOADSCRIPT_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::load {

// One kind of callers in a load script.
struct LoadClass
{
    std::string name;
    std::vector<std::string> keys;
    std::string path = "/v1/chat/completions";
    std::string model;
    std::vector<std::pair<std::string, std::string>> headers;
    bool streamed = true;
    std::size_t count = 1;
    // Requests arrive at even distances, with jitter, from start on, within this time.
    units::Duration start{};
    units::Duration within = std::chrono::seconds(1);
    std::int64_t leastTokens = 16;
    std::int64_t mostTokens = 16;
    std::size_t promptBytes = 200;
    // Prompts begin with one of this many shared prefixes; 0 is no shared start.
    std::size_t prefixes = 0;
    bool idempotencyKeys = false;
    // How often a caller that was refused comes back, after the time it was told.
    int comeBack = 0;
    units::Duration firstTokenTarget = std::chrono::seconds(2);
    units::Duration wholeAnswerTarget = std::chrono::seconds(60);
};

// What monsoongrade-load does: who calls, when, and with what.
struct LoadScript
{
    std::uint64_t seed = 1;
    // Where callers ask for the addresses to use.
    std::vector<std::string> entry;
    // Engine stand-ins, asked at the end for the tokens that they made.
    std::vector<std::string> engines;
    units::Duration giveUpAfter = std::chrono::seconds(120);
    std::vector<LoadClass> classes;
};

// The script counts only where no problem is added.
LoadScript parseLoadScript(const configuration::SourceFile &file,
                           configuration::Problems &problems);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADSCRIPT_H

#ifndef MONSOONGRADE_LOAD_LOADSCRIPT_H
#define MONSOONGRADE_LOAD_LOADSCRIPT_H

#include <monsoongrade/configuration/mappingreader.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::load {

// How requests spread over the time of their class.
enum class ArrivalPattern {
    // Even distances with jitter.
    Steady,
    // All at the start.
    Burst,
    // Independent callers: uniform places, in order.
    Poisson,
};

// One kind of callers in a load script.
struct LoadClass
{
    std::string name;
    std::vector<std::string> keys;
    std::string method = "POST";
    std::string path = "/v1/chat/completions";
    // Sent as it is where given; a plain service must send it back. Otherwise a completions body.
    std::string body;
    std::string model;
    std::vector<std::pair<std::string, std::string>> headers;
    bool streamed = true;
    std::size_t count = 1;
    // Callers that keep an address of their own for as long as the system says.
    std::size_t callers = 20;
    ArrivalPattern pattern = ArrivalPattern::Steady;
    // Requests arrive from start on, within this time.
    units::Duration start{};
    units::Duration within = std::chrono::seconds(1);
    std::int64_t leastTokens = 16;
    std::int64_t mostTokens = 16;
    std::size_t promptBytes = 200;
    // Prompts begin with one of this many shared prefixes; 0 is no shared start.
    std::size_t prefixes = 0;
    bool idempotencyKeys = false;
    // The same key and request is sent this often again at the same moment, elsewhere.
    std::size_t repeats = 0;
    // A keyed request that ended in an error is sent again with its key this often.
    int repeatsAfterError = 0;
    // A slow reader takes no more than this; 0 is as fast as it comes.
    std::size_t readBytesPerSecond = 0;
    // The caller leaves after so many tokens; 0 is never.
    std::int64_t leaveAfterTokens = 0;
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
    // False: callers use the entry addresses as they are and ask for no others.
    bool asksForEntryPoints = true;
    // Engine stand-ins, asked at the end for the tokens that they made.
    std::vector<std::string> engines;
    units::Duration giveUpAfter = std::chrono::seconds(120);
    std::vector<LoadClass> classes;
};

// Reads one class, but leaves finish() to whoever has keys of its own in the same mapping.
LoadClass readLoadClass(configuration::MappingReader &item);

// The script counts only where no problem is added.
LoadScript parseLoadScript(const configuration::SourceFile &file,
                           configuration::Problems &problems);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADSCRIPT_H

#ifndef MONSOONGRADE_CTL_OPTIONS_H
#define MONSOONGRADE_CTL_OPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace monsoongrade::ctl {

enum class OutputFormat { Text, Json, Yaml };

// What every command of monsoongradectl shares.
struct Options
{
    // "http://address:port" of the platform's API.
    std::string platform;
    std::string operatorToken;
    std::uint16_t operatorPort = 8081;
    std::uint16_t schedulerOperatorPort = 8082;
    // Addresses of entry hosts to ask instead of those in the platform's list, which can't be read
    // while the platform is down.
    std::vector<std::string> hosts;
    OutputFormat output = OutputFormat::Text;
};

constexpr int ExitOk = 0;
// The platform or a daemon did not answer, or refused.
constexpr int ExitFailed = 1;
// Wrong words on the command line, or mistakes in files.
constexpr int ExitBadInput = 2;
// Accepted, but not yet in force on every daemon that was asked.
constexpr int ExitBehind = 3;

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_OPTIONS_H

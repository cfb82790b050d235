#ifndef MONSOONGRADE_BENCH_RESULT_H
#define MONSOONGRADE_BENCH_RESULT_H

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::bench {

// What became of one class. Shares are percentages of the requests that its callers wanted,
// however often they had to ask.
struct ClassResult
{
    std::string name;
    double attainment = 0;
    double completed = 0;
    // Share of the tokens granted from the tenth to the sixtieth second, while callers arrive.
    double tokensGranted = 0;
    double firstTokenP95 = 0;
    // Of the answers completed, the time between two tokens that 95 in 100 keep to, and the share
    // that keeps to the target. An answer counts with its mean.
    double betweenTokensP95 = 0;
    double betweenTokensKept = 0;
};

// What one run measured. Percentages, but for the counts.
struct Result
{
    std::vector<ClassResult> classes;
    // Useful tokens, of those that the engines could have made while somebody waited.
    double goodput = 0;
    // Tokens made for nobody, of all tokens made.
    double wasted = 0;
    // Prompt tokens that a cached prefix spared, of all prompt tokens.
    double prefillSaved = 0;
    double messagesPerRequest = 0;
    double bytesPerRequest = 0;
    // Attainment of the highest tier for those who came in the 2 s after the scheduler died, and
    // in the 2 s after those; -1 if none died.
    double attainedAtDeath = -1;
    double attainedAfterDeath = -1;
    // Attainment of the second class's callers from the seven small workspaces.
    double smallWorkspaces = 0;
    // Refused callers that came back in the busiest second.
    double mostReturns = 0;
    std::map<std::string, double> refusals;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_RESULT_H

#ifndef MONSOONGRADE_CTL_COMMANDS_H
#define MONSOONGRADE_CTL_COMMANDS_H

#include <monsoongrade/ctl/options.h>

#include <string>

namespace monsoongrade::ctl {

// Each command prints its answer to standard output, faults to standard error, and returns the
// exit code of the program.

// Checks a folder or file; every mistake with file, line and key. Where the options name a
// platform the files are checked together with those in force there, else by themselves.
int checkCommand(const std::string &path, const Options &options);

// Shows how the files differ from those in force.
int diffCommand(const std::string &path, const Options &options);

// Puts the files in force and waits until every daemon has them, for at most waitSeconds.
int applyCommand(const std::string &path, int waitSeconds, const Options &options);

// Takes one file out of force; the others stay.
int removeCommand(const std::string &file, int waitSeconds, const Options &options);

// Shows every entry host: generation, age, open requests, what it suspects.
int statusCommand(const Options &options);

// Takes a host or an endpoint out of service, or back in.
int drainCommand(const std::string &name, bool undo, int waitSeconds, const Options &options);

// Shows each decision about one request.
int explainCommand(const std::string &requestId, const Options &options);

// Shows counts per class, refreshed each second; 0 rounds is without end.
int topCommand(int rounds, const Options &options);

// The command works without the platform where Options::hosts says whom to ask.
bool asksDaemonsOnly(const std::string &command);

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_COMMANDS_H

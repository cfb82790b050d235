#ifndef MONSOONGRADE_STANDINS_STANDINSETTINGS_H
#define MONSOONGRADE_STANDINS_STANDINSETTINGS_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/standins/fakeengine.h>

namespace monsoongrade::standins {

// What the program monsoongrade-fake-engine is told. A port of 0 is not given yet.
struct FakeEngineProgram
{
    http::HttpServerSettings listener;
    FakeEngineSettings engine;
    // A switched crash ends the process.
    bool exitOnCrash = false;
};

// Both read a YAML file with the reader of the daemons' settings; keys that the file leaves out
// keep their values. The result counts only where no problem is added.
void parseFakeEngineSettings(const configuration::SourceFile &file, FakeEngineProgram &settings,
                             configuration::Problems &problems);
void parseFakePlatformSettings(const configuration::SourceFile &file,
                               http::HttpServerSettings &settings,
                               configuration::Problems &problems);

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_STANDINSETTINGS_H

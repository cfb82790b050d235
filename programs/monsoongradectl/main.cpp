#include <monsoongrade/ctl/commands.h>
#include <monsoongrade/daemon/parsearguments.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace monsoongrade;

constexpr int DefaultWaitSeconds = 30;

// Words that the completion script offers after the program's name.
const char *const Completion = R"(_monsoongradectl()
{
    local commands="check diff apply remove status drain undrain explain top completion"
    local options="--wait --rounds --platform --token --operator-port --scheduler-operator-port --hosts --output --help --version"
    local word=${COMP_WORDS[COMP_CWORD]}
    case ${COMP_WORDS[COMP_CWORD-1]} in
    check|diff|apply) COMPREPLY=($(compgen -f -- "$word")) ;;
    --output) COMPREPLY=($(compgen -W "text json yaml" -- "$word")) ;;
    *) COMPREPLY=($(compgen -W "$commands $options" -- "$word")) ;;
    esac
}
complete -F _monsoongradectl monsoongradectl
)";

// The command line as it was given.
struct Arguments
{
    ctl::Options options;
    std::string path;
    std::string name;
    int waitSeconds = DefaultWaitSeconds;
    int rounds = 0;
};

void addShared(CLI::App &app, ctl::Options &options)
{
    const std::map<std::string, ctl::OutputFormat> formats{{"text", ctl::OutputFormat::Text},
                                                           {"json", ctl::OutputFormat::Json},
                                                           {"yaml", ctl::OutputFormat::Yaml}};
    app.add_option("--platform", options.platform, "http://address:port of the platform's API")
        ->envname("MONSOONGRADE_PLATFORM");
    app.add_option("--token", options.operatorToken, "operator token of the daemons")
        ->envname("MONSOONGRADE_OPERATOR_TOKEN");
    app.add_option("--operator-port", options.operatorPort, "operator port of the routers");
    app.add_option("--scheduler-operator-port", options.schedulerOperatorPort,
                   "operator port of the schedulers");
    app.add_option("--hosts", options.hosts,
                   "addresses of entry hosts to ask while the platform is down, with commas")
        ->delimiter(',');
    app.add_option("--output", options.output, "text, json or yaml")
        ->transform(CLI::CheckedTransformer(formats, CLI::ignore_case));
}

int dispatch(const std::string &command, const Arguments &given)
{
    if (command == "completion") {
        std::cout << Completion;
        return ctl::ExitOk;
    }
    if (command == "check")
        return ctl::checkCommand(given.path, given.options);
    const bool needsPlatform = given.options.hosts.empty() || !ctl::asksDaemonsOnly(command);
    if (given.options.platform.empty() && needsPlatform) {
        std::cerr << "4004 missing-setting: give --platform http://address:port, or set "
                     "MONSOONGRADE_PLATFORM\n";
        return ctl::ExitBadInput;
    }
    if (command == "diff")
        return ctl::diffCommand(given.path, given.options);
    if (command == "apply")
        return ctl::applyCommand(given.path, given.waitSeconds, given.options);
    if (command == "status")
        return ctl::statusCommand(given.options);
    if (command == "explain")
        return ctl::explainCommand(given.name, given.options);
    if (command == "top")
        return ctl::topCommand(given.rounds, given.options);
    if (command == "remove")
        return ctl::removeCommand(given.name, given.waitSeconds, given.options);
    return ctl::drainCommand(given.name, command == "undrain", given.waitSeconds, given.options);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Operates a monsoongrade cluster.\nExit codes: 0 done, 1 no answer or refused, "
                 "2 wrong input, 3 accepted but not yet in force everywhere.",
                 "monsoongradectl");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    app.require_subcommand(1);
    app.fallthrough();
    Arguments given;
    addShared(app, given.options);
    for (const auto &[name, help] : std::map<std::string, std::string>{
             {"check", "check a folder or file of configuration"},
             {"diff", "show how it differs from what is in force"},
             {"apply", "put it in force; files of other names stay as they are"}}) {
        auto *command = app.add_subcommand(name, help);
        command->add_option("path", given.path, "folder or one file")->required();
        if (name == "apply")
            command->add_option("--wait", given.waitSeconds, "seconds to wait; 0 does not wait");
    }
    for (const auto &[name, help] :
         std::map<std::string, std::string>{{"remove", "take one file out of force, by its name"},
                                            {"drain", "take a host or an endpoint out of service"},
                                            {"undrain", "put it back into service"}}) {
        auto *command = app.add_subcommand(name, help);
        command->add_option("name", given.name, "file, host or endpoint")->required();
        command->add_option("--wait", given.waitSeconds, "seconds to wait; 0 does not wait");
    }
    app.add_subcommand("status", "show every entry host");
    app.add_subcommand("explain", "show each decision about a request")
        ->add_option("request", given.name, "request id")
        ->required();
    app.add_subcommand("top", "show counts per class, live")
        ->add_option("--rounds", given.rounds, "how often; 0 goes on without end");
    app.add_subcommand("completion", "print the completion script for bash");
    if (const auto exitCode = daemon::parseArguments(app, argc, argv))
        return *exitCode;
    return dispatch(app.get_subcommands().front()->get_name(), given);
}

#include <monsoongrade/requests/refusal.h>
#include <monsoongrade/units/resultcode.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

// The pages for operators are compared with the sources in both directions, so that they can't
// drift apart: every metric, log event, settings key, option and result code that the code names
// must stand on its page, and a page must name none that the code does not have.

namespace {

namespace fs = std::filesystem;

const std::string Root = MONSOONGRADE_SOURCE_DIR;

std::string textOf(const fs::path &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::set<std::string> matches(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it)
        found.insert((*it)[1].str());
    return found;
}

std::string sources()
{
    std::string text;
    for (const char *folder : {"/include", "/src", "/platform", "/programs"}) {
        for (const auto &entry : fs::recursive_directory_iterator(Root + folder)) {
            if (entry.path().extension() == ".cpp" || entry.path().extension() == ".h")
                text += textOf(entry.path());
        }
    }
    return text;
}

std::string page(const std::string &name)
{
    return textOf(Root + "/docs/" + name);
}

// The text below a heading, up to the next one of any level.
std::string section(const std::string &name, const std::string &heading)
{
    const std::string text = page(name);
    const std::size_t begin = text.find("\n## " + heading + "\n");
    REQUIRE_MESSAGE(begin != std::string::npos, "no heading ", heading);
    const std::size_t end = text.find("\n## ", begin + 1);
    return text.substr(begin, end - begin);
}

std::set<std::string> quoted(const std::string &text)
{
    return matches(text, "`([^`]+)`");
}

std::string tableOf(const std::string &text)
{
    std::string table;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        if (line.compare(0, 2, "| ") == 0)
            table += line + "\n";
    }
    return table;
}

// What a table's first column names.
std::set<std::string> firstColumn(const std::string &text)
{
    std::set<std::string> names;
    std::istringstream in(tableOf(text));
    for (std::string line; std::getline(in, line);)
        names.merge(quoted(line.substr(0, line.find(" |", 1))));
    return names;
}

void checkContained(const std::set<std::string> &names, const std::set<std::string> &all,
                    const std::string &where)
{
    for (const std::string &name : names)
        CHECK_MESSAGE(all.count(name) == 1, name, " is not ", where);
}

// Both ways: the section's table names all that the code has, and nothing else.
void checkSame(const std::set<std::string> &inCode, const std::string &heading)
{
    CHECK_FALSE(inCode.empty());
    const std::string text = section("REFERENCE.md", heading);
    checkContained(inCode, quoted(tableOf(text)), "in REFERENCE.md below " + heading);
    checkContained(firstColumn(text), inCode, "in the code, but below " + heading);
}

// Keys that a file reads, by the reader's functions or by helpers that get the reader first.
std::set<std::string> keysIn(const std::string &file)
{
    const std::string text = textOf(Root + "/src/" + file);
    auto keys = matches(text,
                        "(?:reader|item|match|target|endpoint)(?:\\.|->)"
                        "(?!problem|has)[a-zA-Z]+\\(\\s*\"([a-z-]+)\"");
    keys.merge(matches(text, "(?:port|count)\\(reader, \"([a-z-]+)\""));
    // Read by a helper without naming it again.
    keys.merge(matches(text, "\\w+ = reader\\.\\w+\\(\"([a-z-]+)\""));
    return keys;
}

std::set<std::string> decisionNames()
{
    return matches(textOf(Root + "/src/requests/decisionlog.cpp"), "return \"([a-z-]+)\";");
}

std::set<std::string> logEvents()
{
    auto events = matches(sources(), "[^a-zA-Z]log\\([^;{\"]*\"([a-z]+(?:-[a-z]+)*)\"");
    // The second of two events between which a call chooses, and the sink's own line.
    events.merge(matches(sources(), "log\\([^;{]*\\? \"[a-z-]+\"\\s*: \"([a-z]+(?:-[a-z]+)*)\""));
    events.merge(matches(sources(), "event=([a-z]+(?:-[a-z]+)*) "));
    // Lines with a budget.
    events.merge(matches(sources(), "log_?\\.write\\([^;{\"]*\"([a-z]+(?:-[a-z]+)*)\""));
    events.merge(decisionNames());
    events.erase("unnamed");
    return events;
}

// Of every program, with the two dashes.
std::set<std::string> options()
{
    auto names = matches(sources(), "add_(?:option|flag)\\(\"(--[a-z-]+)\"");
    names.insert({"--help", "--version"});
    return names;
}

} // namespace

TEST_CASE("Reference.MetricsAreThoseOfTheCode")
{
    checkSame(matches(sources(), "\"(monsoongrade_[a-z_]*[a-z])\""), "Metrics");
}

TEST_CASE("Reference.LogEventsAreThoseOfTheCode")
{
    checkSame(logEvents(), "Log events");
}

TEST_CASE("Reference.KeysAreThoseOfTheCode")
{
    checkSame(keysIn("configuration/daemonsettings.cpp"), "Settings of a daemon");
    checkSame(keysIn("gateway/gatewaysettings.cpp"), "Settings of a gateway");
    checkSame(keysIn("standins/standinsettings.cpp"), "Settings of a stand-in");
    checkSame(keysIn("configuration/configurationparser.cpp"), "Configuration files");
    checkSame(keysIn("load/loadscript.cpp"), "Load script");
}

TEST_CASE("Reference.OptionsAndCommandsAreThoseOfTheCode")
{
    const std::string text = section("REFERENCE.md", "Command lines");
    const auto onPage = matches(text, "[`\\[ ](--[a-z-]+)");
    auto named = onPage;
    // Every key of a stand-in is an option, too.
    for (const std::string &key : firstColumn(section("REFERENCE.md", "Settings of a stand-in")))
        named.insert("--" + key);
    checkContained(options(), named, "among the command lines of REFERENCE.md");
    checkContained(onPage, options(), "an option of a program, but of REFERENCE.md");
    const std::string program = textOf(Root + "/programs/monsoongradectl/main.cpp");
    auto commands = matches(program, "\\{\"([a-z]+)\", \"[a-z]");
    commands.merge(matches(program, "add_subcommand\\(\"([a-z]+)\""));
    const auto commandsOnPage = matches(text, "`([a-z]+)(?: [A-Z\\[][^`]*)?`");
    checkContained(commands, commandsOnPage, "among the commands of REFERENCE.md");
    const auto completed = matches(program, "commands=\"([^\"]+)\"");
    REQUIRE(completed.size() == 1);
    checkContained(commands, matches(*completed.begin() + " ", "([a-z]+) "), "completed");
}

// An operations page sent readers to a log event that had got another name.
TEST_CASE("Operations.PagesNameOnlyWhatTheCodeHas")
{
    auto known = quoted(page("REFERENCE.md"));
    known.merge(quoted(page("RESULT-CODES.md")));
    known.merge(matches(sources(), "\"([a-z]+(?:-[a-z]+)+)\""));
    std::vector<fs::path> pages{Root + "/docs/OPERATIONS.md", Root + "/docs/FAQ.md",
                                Root + "/docs/PRIMER.md"};
    for (const auto &entry : fs::directory_iterator(Root + "/docs/operations"))
        pages.push_back(entry.path());
    for (const fs::path &path : pages) {
        const std::string text = textOf(path);
        auto names = matches(text, "`(monsoongrade_[a-z_]+)[`{]");
        names.merge(matches(text, "`([a-z]+(?:-[a-z]+)+)`"));
        checkContained(names, known, "in the code, but on " + path.filename().string());
    }
}

// A page referred to tests by names that they no longer had.
TEST_CASE("Pages.NameOnlyTestsThatExist")
{
    std::set<std::string> tests;
    for (const auto &entry : fs::recursive_directory_iterator(Root + "/tests")) {
        if (entry.path().extension() == ".cpp")
            tests.merge(matches(textOf(entry.path()), "TEST_CASE\\w*\\([^\"]*\"([^\"]+)\""));
    }
    CHECK_FALSE(tests.empty());
    for (const auto &entry : fs::recursive_directory_iterator(Root + "/docs")) {
        if (entry.path().extension() != ".md")
            continue;
        checkContained(matches(textOf(entry.path()), "`([A-Z]\\w+\\.[A-Z]\\w+)`"), tests,
                       "a test, but named by " + entry.path().filename().string());
    }
}

TEST_CASE("ResultCodes.PageAndCodeAgree")
{
    using monsoongrade::requests::httpStatusFor;
    using monsoongrade::units::ResultCode;
    const auto inCode
        = matches(textOf(Root + "/include/monsoongrade/units/resultcode.h"), "\\w+ = (\\d+),");
    const std::string text = page("RESULT-CODES.md");
    CHECK(matches(text, "\n\\| (\\d+) \\|") == inCode);
    for (const std::string &number : inCode) {
        const auto code = static_cast<ResultCode>(std::stoi(number));
        const std::string row = "| " + number + " | `"
            + std::string(monsoongrade::units::resultCodeName(code)) + "` |";
        CHECK_MESSAGE(text.find(row) != std::string::npos, "no row starts with ", row);
        const auto status = matches(text, "\n\\| " + number + " \\| `[a-z-]+` \\| (\\d+) \\|");
        if (!status.empty() && code != ResultCode::Ok)
            CHECK_MESSAGE(std::to_string(httpStatusFor(code)) == *status.begin(), "status of ",
                          number);
    }
}

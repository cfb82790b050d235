#include <monsoongrade/units/resultcode.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

// The pages for operators are compared with the sources, so that they can't drift apart: every
// metric, log event, settings key and result code that the code names must stand on its page,
// and the page must name no other result code.

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
    for (const char *folder : {"/src", "/programs"}) {
        for (const auto &entry : fs::recursive_directory_iterator(Root + folder)) {
            if (entry.path().extension() == ".cpp" || entry.path().extension() == ".h")
                text += textOf(entry.path());
        }
    }
    return text;
}

void checkAllNamed(const std::set<std::string> &names, const std::string &page)
{
    const std::string text = textOf(Root + "/docs/" + page);
    for (const std::string &name : names)
        CHECK_MESSAGE(text.find("`" + name + "`") != std::string::npos, name, " is not on docs/",
                      page);
}

} // namespace

TEST_CASE("Reference.NamesEveryMetric")
{
    checkAllNamed(matches(sources(), "\"(monsoongrade_[a-z_]*[a-z])\""), "REFERENCE.md");
}

TEST_CASE("Reference.NamesEveryLogEvent")
{
    checkAllNamed(matches(sources(), "log\\([^;\"]*\"([a-z]+(?:-[a-z]+)+)\""), "REFERENCE.md");
}

TEST_CASE("Reference.NamesEveryKeyOfSettingsAndConfiguration")
{
    std::string text;
    for (const char *file :
         {"configuration/daemonsettings.cpp", "configuration/configurationparser.cpp",
          "load/loadscript.cpp", "standins/standinsettings.cpp"})
        text += textOf(Root + "/src/" + file);
    checkAllNamed(matches(text,
                          "(?:text|requiredText|texts|textPairs|number|integer|flag|duration|"
                          "choice|mapping|mappings)\\(\"([a-z-]+)\""),
                  "REFERENCE.md");
}

TEST_CASE("ResultCodes.PageAndCodeAgree")
{
    using monsoongrade::units::ResultCode;
    const auto inCode
        = matches(textOf(Root + "/include/monsoongrade/units/resultcode.h"), "\\w+ = (\\d+),");
    const std::string page = textOf(Root + "/docs/RESULT-CODES.md");
    CHECK(matches(page, "\n\\| (\\d+) \\|") == inCode);
    for (const std::string &number : inCode) {
        const auto code = static_cast<ResultCode>(std::stoi(number));
        const std::string row = "| " + number + " | `"
            + std::string(monsoongrade::units::resultCodeName(code)) + "` |";
        CHECK_MESSAGE(page.find(row) != std::string::npos, "no row starts with ", row);
    }
}

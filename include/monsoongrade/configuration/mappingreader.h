#ifndef MONSOONGRADE_CONFIGURATION_MAPPINGREADER_H
#define MONSOONGRADE_CONFIGURATION_MAPPINGREADER_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/units/clock.h>

#include <yaml-cpp/yaml.h>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::configuration {

// Reads one YAML mapping key by key and writes down every mistake with file, line and key.
// Each read marks its key as known; finish() reports the keys that nobody asked for.
class MappingReader
{
public:
    // Parses a file whose top is one mapping. Nothing, and a problem noted, where the text is no
    // YAML.
    static std::optional<MappingReader> ofFile(const SourceFile &file, Problems &problems);

    MappingReader(std::string file, const YAML::Node &node, Problems &problems);

    bool has(const std::string &key) const;
    // No key at all is given.
    bool isEmpty() const { return !node_.IsDefined() || node_.IsNull(); }
    // Each returns the fallback, and notes a problem, where the value is of a wrong type or
    // out of range.
    std::string text(const std::string &key, const std::string &fallback = {});
    std::string requiredText(const std::string &key);
    // A text that may be left out but not be empty.
    std::string givenText(const std::string &key);
    // An IP number or a name of a host.
    std::string requiredAddress(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    // A mapping of free keys to texts, in the order of the file.
    std::vector<std::pair<std::string, std::string>> textPairs(const std::string &key);
    double number(const std::string &key, double fallback, double least, double most);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t least,
                         std::int64_t most);
    bool flag(const std::string &key, bool fallback);
    // "250ms", "2s", "5m"
    units::Duration duration(const std::string &key, units::Duration fallback);
    // The same for a time within which something must be able to happen.
    units::Duration positiveDuration(const std::string &key, units::Duration fallback);
    // One of the given words; returns its index.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words,
                       std::size_t fallback);
    MappingReader mapping(const std::string &key);
    std::vector<MappingReader> mappings(const std::string &key);

    void problem(units::ResultCode code, const std::string &key, const std::string &message);
    void finish();

    const std::string &file() const { return file_; }
    int line() const;

private:
    YAML::Node find(const std::string &key);
    int lineOf(const std::string &key) const;

    std::string file_;
    YAML::Node node_;
    Problems *problems_;
    std::set<std::string> known_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_MAPPINGREADER_H

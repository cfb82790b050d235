#include <monsoongrade/configuration/mappingreader.h>

#include <monsoongrade/configuration/textcheck.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace monsoongrade::configuration {

namespace {

using units::ResultCode;

std::optional<units::Duration> parseDuration(const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const std::string unit = end;
    if (end == text.c_str() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    double seconds = 0;
    if (unit == "ms")
        seconds = value / 1000;
    else if (unit == "s")
        seconds = value;
    else if (unit == "m")
        seconds = value * 60;
    else if (unit == "h")
        seconds = value * 3600;
    else
        return std::nullopt;
    constexpr double Year = 365.0 * 24 * 3600;
    if (seconds > Year)
        return std::nullopt;
    return std::chrono::duration_cast<units::Duration>(std::chrono::duration<double>(seconds));
}

std::string joined(const std::vector<std::string> &words)
{
    std::string out;
    for (const std::string &word : words)
        out += (out.empty() ? "" : ", ") + word;
    return out;
}

} // namespace

std::optional<MappingReader> MappingReader::ofFile(const SourceFile &file, Problems &problems)
{
    if (auto unreadable = findUnreadableText(file)) {
        problems.push_back(std::move(*unreadable));
        return std::nullopt;
    }
    try {
        return MappingReader(file.name, YAML::Load(file.text), problems);
    } catch (const YAML::Exception &error) {
        problems.push_back({ResultCode::NotYaml, file.name, error.mark.line + 1, {}, error.msg});
        return std::nullopt;
    }
}

MappingReader::MappingReader(std::string file, const YAML::Node &node, Problems &problems)
    : file_(std::move(file))
    , node_(node)
    , problems_(&problems)
{
    if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap())
        problem(ResultCode::WrongType, {}, "expected a mapping of keys to values");
}

bool MappingReader::has(const std::string &key) const
{
    return node_.IsMap() && node_[key].IsDefined();
}

YAML::Node MappingReader::find(const std::string &key)
{
    known_.insert(key);
    if (!has(key))
        return YAML::Node(YAML::NodeType::Undefined);
    return node_[key];
}

std::string MappingReader::text(const std::string &key, const std::string &fallback)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    if (!value.IsScalar()) {
        problem(ResultCode::WrongType, key, "expected a text");
        return fallback;
    }
    return value.Scalar();
}

std::string MappingReader::requiredText(const std::string &key)
{
    std::string value = text(key);
    if (value.empty() && (!has(key) || node_[key].IsScalar()))
        problem(ResultCode::MissingSetting, key, "this key must be given and not be empty");
    return value;
}

std::vector<std::string> MappingReader::texts(const std::string &key)
{
    const YAML::Node value = find(key);
    std::vector<std::string> result;
    if (!value.IsDefined())
        return result;
    if (!value.IsSequence()) {
        problem(ResultCode::WrongType, key, "expected a list of texts");
        return result;
    }
    for (const YAML::Node &item : value) {
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            problem(ResultCode::WrongType, key, "expected a list of texts");
    }
    return result;
}

std::vector<std::pair<std::string, std::string>> MappingReader::textPairs(const std::string &key)
{
    const YAML::Node value = find(key);
    std::vector<std::pair<std::string, std::string>> result;
    if (!value.IsDefined())
        return result;
    if (!value.IsMap()) {
        problem(ResultCode::WrongType, key, "expected a mapping of texts to texts");
        return result;
    }
    for (const auto &entry : value) {
        if (entry.first.IsScalar() && entry.second.IsScalar())
            result.emplace_back(entry.first.Scalar(), entry.second.Scalar());
        else
            problem(ResultCode::WrongType, key, "expected a mapping of texts to texts");
    }
    return result;
}

double MappingReader::number(const std::string &key, double fallback, double least, double most)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    double number = 0;
    if (!value.IsScalar() || !YAML::convert<double>::decode(value, number)
        || !std::isfinite(number)) {
        problem(ResultCode::WrongType, key, "expected a number");
        return fallback;
    }
    if (number < least || number > most) {
        problem(ResultCode::OutOfRange, key,
                "expected a number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return number;
}

std::int64_t MappingReader::integer(const std::string &key, std::int64_t fallback,
                                    std::int64_t least, std::int64_t most)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    std::int64_t number = 0;
    if (!value.IsScalar() || !YAML::convert<std::int64_t>::decode(value, number)) {
        problem(ResultCode::WrongType, key, "expected a whole number");
        return fallback;
    }
    if (number < least || number > most) {
        problem(ResultCode::OutOfRange, key,
                "expected a whole number from " + std::to_string(least) + " to "
                    + std::to_string(most));
        return fallback;
    }
    return number;
}

bool MappingReader::flag(const std::string &key, bool fallback)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    bool result = fallback;
    if (!value.IsScalar() || !YAML::convert<bool>::decode(value, result))
        problem(ResultCode::WrongType, key, "expected true or false");
    return result;
}

std::string MappingReader::givenText(const std::string &key)
{
    std::string value = text(key);
    if (has(key) && node_[key].IsScalar() && value.empty())
        problem(ResultCode::OutOfRange, key, "must not be empty; leave the key out instead");
    return value;
}

std::string MappingReader::requiredAddress(const std::string &key)
{
    std::string value = requiredText(key);
    const auto isPart = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '-';
    };
    const bool isAddress = std::all_of(value.begin(), value.end(), isPart)
        && (value.empty() || std::isalnum(static_cast<unsigned char>(value.front())) != 0);
    if (!isAddress)
        problem(ResultCode::OutOfRange, key, "expected an IP number or a host's name");
    return value;
}

units::Duration MappingReader::positiveDuration(const std::string &key, units::Duration fallback)
{
    const units::Duration value = duration(key, fallback);
    if (value < std::chrono::milliseconds(1))
        problem(ResultCode::OutOfRange, key, "expected a time of at least 1ms");
    return value;
}

units::Duration MappingReader::duration(const std::string &key, units::Duration fallback)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    const auto parsed = value.IsScalar() ? parseDuration(value.Scalar()) : std::nullopt;
    if (!parsed) {
        problem(ResultCode::WrongType, key, "expected a time such as 250ms, 2s, 5m or 1h");
        return fallback;
    }
    return *parsed;
}

std::size_t MappingReader::choice(const std::string &key, const std::vector<std::string> &words,
                                  std::size_t fallback)
{
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return fallback;
    const auto found
        = value.IsScalar() ? std::find(words.begin(), words.end(), value.Scalar()) : words.end();
    if (found == words.end()) {
        problem(ResultCode::OutOfRange, key, "expected one of: " + joined(words));
        return fallback;
    }
    return static_cast<std::size_t>(found - words.begin());
}

MappingReader MappingReader::mapping(const std::string &key)
{
    return {file_, find(key), *problems_};
}

std::vector<MappingReader> MappingReader::mappings(const std::string &key)
{
    const YAML::Node value = find(key);
    std::vector<MappingReader> result;
    if (!value.IsDefined() || value.IsNull())
        return result;
    if (!value.IsSequence()) {
        problem(ResultCode::WrongType, key, "expected a list of mappings");
        return result;
    }
    for (const YAML::Node &item : value)
        result.emplace_back(file_, item, *problems_);
    return result;
}

void MappingReader::problem(ResultCode code, const std::string &key, const std::string &message)
{
    problems_->push_back({code, file_, key.empty() ? line() : lineOf(key), key, message});
}

void MappingReader::finish()
{
    if (!node_.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &entry : node_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        const int at = entry.first.Mark().line + 1;
        if (known_.count(key) == 0)
            problems_->push_back(
                {ResultCode::UnknownSetting, file_, at, key,
                 "no such key here; known are: " + joined({known_.begin(), known_.end()})});
        if (!seen.insert(key).second)
            problems_->push_back(
                {ResultCode::DuplicateName, file_, at, key, "this key is given twice"});
    }
}

int MappingReader::line() const
{
    return node_.IsDefined() ? node_.Mark().line + 1 : 0;
}

int MappingReader::lineOf(const std::string &key) const
{
    if (node_.IsMap()) {
        for (const auto &entry : node_) {
            if (entry.first.IsScalar() && entry.first.Scalar() == key)
                return entry.first.Mark().line + 1;
        }
    }
    return line();
}

} // namespace monsoongrade::configuration
